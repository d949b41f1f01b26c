#include "banyanknot/coordination/quota/quota_share.h"

#include <algorithm>

namespace banyanknot::coordination {
namespace {

/// For about this long, a host may count at two accounts after its accountant
/// changed.
constexpr double kOverlapS = 1.5;
/// Part of what is left beyond the quota that is used in calm. The rest covers
/// accounts that follow each other within one window.
constexpr double kOverdraftShare = 0.5;

}  // namespace

QuotaShare ShareOf(const state::Quota& quota, const QuotaRules& rules) {
  const double domains =
      static_cast<double>(std::max<std::size_t>(1, rules.domains.size()));
  const double window_s = std::chrono::duration<double>(rules.window).count();
  const double beyond =
      (quota.rate * window_s + quota.burst) * rules.over + rules.slack;
  QuotaShare share;
  share.window = rules.window;
  share.rate = quota.rate / domains;
  share.capacity = quota.burst / domains;
  share.overdraft = std::max(0.0, beyond - quota.rate * kOverlapS) *
                    kOverdraftShare / domains;
  // A domain must be able to collect the credit of one request, at the expense
  // of its overdraft.
  const double missing = std::max(0.0, 1 - share.capacity);
  share.capacity += missing;
  share.overdraft = std::max(0.0, share.overdraft - missing);
  return share;
}

}  // namespace banyanknot::coordination
