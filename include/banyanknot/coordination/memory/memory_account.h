#ifndef BANYANKNOT_COORDINATION_MEMORY_MEMORY_ACCOUNT_H_
#define BANYANKNOT_COORDINATION_MEMORY_MEMORY_ACCOUNT_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <utility>

#include "banyanknot/coordination/clock.h"
#include "banyanknot/coordination/memory/give_way_policy.h"
#include "banyanknot/state/sharded_table.h"

namespace banyanknot::coordination {

/// \brief Limits what callers together make this process hold.
///
/// Above three quarters of the limit, holders that the policy chooses are asked
/// to give way, and only small holders may grow; above the limit none may.
/// Thread-safe.
class MemoryAccount {
 public:
  /// \brief Makes a holder release its bytes soon; any thread, no lock held.
  using GiveWayHandler = std::function<void()>;

  MemoryAccount(const Clock& clock, const GiveWayPolicy& policy,
                std::size_t max_bytes)
      : clock(clock), policy(policy), max_bytes(max_bytes) {}

  MemoryHolderId Open(GiveWayHandler give_way);
  /// \brief Sets what a holder has and records its progress.
  /// \returns false if the account has no room, and nothing has changed
  bool TryHold(MemoryHolderId id, std::size_t bytes, bool can_give_way);
  /// \brief As TryHold(), but always succeeds: for what exists already.
  void Hold(MemoryHolderId id, std::size_t bytes, bool can_give_way);
  void Close(MemoryHolderId id);

  std::size_t HeldBytes() const { return this->held; }
  /// \brief Returns the most that was held since the last call.
  std::size_t TakePeak() { return this->peak.exchange(this->held); }
  std::size_t MaxBytes() const { return this->max_bytes; }
  std::uint64_t Refusals() const { return this->refusals; }
  /// \brief Returns how many holders were asked to give way.
  std::uint64_t GaveWay() const { return this->gave_way; }

 private:
  struct Entry {
    MemoryHolder holder;
    GiveWayHandler give_way;
    bool is_asked = false;  ///< to give way
  };

  std::size_t SoftLimit() const {
    return this->max_bytes - this->max_bytes / 4;
  }
  void Change(MemoryHolderId id, std::size_t bytes, bool can_give_way);
  bool HasRoomFor(MemoryHolderId id, std::size_t growth, std::size_t bytes);
  /// \brief Asks others than `but` to give way.
  void Reclaim(MemoryHolderId but);

  const Clock& clock;
  const GiveWayPolicy& policy;
  const std::size_t max_bytes;
  std::atomic<MemoryHolderId> next_id{1};
  std::atomic<std::size_t> held{0};
  std::atomic<std::size_t> leaving{0};  // of those asked to give way
  std::atomic<std::size_t> peak{0};
  std::atomic<state::TimePoint> next_search_at{state::TimePoint::min()};
  std::atomic<std::uint64_t> refusals{0};
  std::atomic<std::uint64_t> gave_way{0};
  state::ShardedTable<MemoryHolderId, Entry> entries;
};

/// \brief The share of one caller in a MemoryAccount, released at the end of
/// its lifetime. Not thread-safe.
class MemoryHold {
 public:
  /// \param account null for no limit
  MemoryHold(std::shared_ptr<MemoryAccount> account,
             MemoryAccount::GiveWayHandler give_way)
      : account(std::move(account)) {
    if (this->account != nullptr) {
      this->id = this->account->Open(std::move(give_way));
    }
  }
  ~MemoryHold() {
    if (this->account != nullptr) this->account->Close(this->id);
  }
  MemoryHold(const MemoryHold&) = delete;
  MemoryHold& operator=(const MemoryHold&) = delete;

  /// \see MemoryAccount::TryHold()
  bool TryHold(std::size_t bytes, bool can_give_way) {
    return this->account == nullptr ||
           this->account->TryHold(this->id, bytes, can_give_way);
  }
  /// \see MemoryAccount::Hold()
  void Hold(std::size_t bytes, bool can_give_way) {
    if (this->account != nullptr) {
      this->account->Hold(this->id, bytes, can_give_way);
    }
  }

 private:
  const std::shared_ptr<MemoryAccount> account;
  MemoryHolderId id = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_MEMORY_MEMORY_ACCOUNT_H_
