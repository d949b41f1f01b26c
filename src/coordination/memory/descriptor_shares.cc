#include "banyanknot/coordination/memory/descriptor_shares.h"

#include <algorithm>

namespace banyanknot::coordination {
namespace {

/// Listeners, timers, logs and the connections to the source.
constexpr std::size_t kOwnDescriptors = 64;
constexpr std::size_t kMaxCallers = 2'500;
/// Several for each host of a failure domain.
constexpr std::size_t kMaxHosts = 1'024;
constexpr std::size_t kMaxStatus = 64;
constexpr std::size_t kMinStatus = 4;

}  // namespace

DescriptorShares ShareDescriptors(std::size_t limit) {
  const std::size_t shared =
      limit > 2 * kOwnDescriptors ? limit - kOwnDescriptors : limit / 2;
  DescriptorShares shares;
  shares.callers = std::clamp<std::size_t>(shared * 5 / 8, 1, kMaxCallers);
  shares.hosts = std::clamp<std::size_t>(shared / 8, 1, kMaxHosts);
  shares.status = std::clamp(shared / 64, kMinStatus, kMaxStatus);
  return shares;
}

}  // namespace banyanknot::coordination
