#include "banyanknot/coordination/memory/give_way_policy.h"

#include <algorithm>

namespace banyanknot::coordination {
namespace {

/// Holders that progressed less than this ago count as if it was this long, so
/// that among active ones the largest gives way.
constexpr state::Duration kMinStall = state::Milliseconds(20);

/// Bytes times the time for which they have been held without progress.
double CostOf(const MemoryHolder& holder, state::TimePoint now) {
  const state::Duration stalled =
      std::max(now - holder.progressed_at, kMinStall);
  return static_cast<double>(holder.bytes) *
         std::chrono::duration<double>(stalled).count();
}

}  // namespace

std::vector<MemoryHolderId> StalledFirstPolicy::Choose(
    std::vector<MemoryHolder> holders, std::size_t bytes,
    state::TimePoint now) const {
  holders.erase(std::remove_if(holders.begin(), holders.end(),
                               [](const MemoryHolder& holder) {
                                 return !holder.can_give_way ||
                                        holder.bytes == 0;
                               }),
                holders.end());
  std::sort(holders.begin(), holders.end(),
            [now](const MemoryHolder& left, const MemoryHolder& right) {
              const bool is_left_small = left.bytes <= kSmallBytes;
              const bool is_right_small = right.bytes <= kSmallBytes;
              if (is_left_small != is_right_small) return is_right_small;
              return CostOf(left, now) > CostOf(right, now);
            });
  std::vector<MemoryHolderId> chosen;
  std::size_t freed = 0;
  for (const MemoryHolder& holder : holders) {
    if (freed >= bytes) break;
    freed += holder.bytes;
    chosen.push_back(holder.id);
  }
  return chosen;
}

}  // namespace banyanknot::coordination
