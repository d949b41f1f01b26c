#ifndef BANYANKNOT_COORDINATION_QUERY_QUERY_PIECE_H_
#define BANYANKNOT_COORDINATION_QUERY_QUERY_PIECE_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "banyanknot/coordination/query/shard_map.h"
#include "banyanknot/state/key_range.h"
#include "banyanknot/state/util/time.h"

namespace banyanknot::coordination {

/// \brief Stands for a time that never comes.
inline constexpr state::TimePoint kNever = state::TimePoint::max();

/// \brief Most attempts at one piece of a query.
inline constexpr std::size_t kMaxAttemptsPerPiece = 6;

/// \brief How far a piece of a query has come.
enum class PieceState {
  kOpen,       ///< attempts are open, or another is to be made
  kDone,       ///< answered, or replaced by other pieces
  kExhausted,  ///< nothing is left to try
};

/// \brief A key range of one shard that a query still has to ask for.
struct QueryPiece {
  state::KeyRange range;
  const ShardMap* map = nullptr;
  const MappedShard* shard = nullptr;
  PieceState piece_state = PieceState::kOpen;
  std::uint64_t tried = 0;  ///< a bit for each replica that was asked
  std::array<std::uint32_t, kMaxAttemptsPerPiece> attempts{};
  std::uint8_t attempt_count = 0;
  std::uint8_t open_count = 0;    ///< attempts without a result
  std::uint8_t waits = 0;         ///< times that it had to wait for a replica
  bool has_retry_budget = false;  ///< the next attempt is paid for
  bool awaits_catalogue = false;  ///< no server holds the shard as mapped
  state::TimePoint hedge_at = kNever;
  state::TimePoint timeout_at = kNever;
  state::TimePoint retry_at = kNever;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_QUERY_QUERY_PIECE_H_
