#ifndef BANYANKNOT_COORDINATION_MEMORY_MEMORY_HOLDER_H_
#define BANYANKNOT_COORDINATION_MEMORY_MEMORY_HOLDER_H_

#include <cstddef>
#include <cstdint>

#include "banyanknot/state/util/time.h"

namespace banyanknot::coordination {

/// \brief Identifies a holder in a MemoryAccount.
using MemoryHolderId = std::uint64_t;

/// \brief What a caller makes this process hold.
struct MemoryHolder {
  MemoryHolderId id = 0;
  std::size_t bytes = 0;
  /// When the caller last sent or took something.
  state::TimePoint progressed_at;
  /// Whether it can be ended; not while its request runs.
  bool can_give_way = false;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_MEMORY_MEMORY_HOLDER_H_
