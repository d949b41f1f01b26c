#ifndef BANYANKNOT_COORDINATION_QUERY_NO_HEDGE_POLICY_H_
#define BANYANKNOT_COORDINATION_QUERY_NO_HEDGE_POLICY_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "banyanknot/coordination/query/hedge_policy.h"

namespace banyanknot::coordination {

/// \brief Never hedges: the baseline.
class NoHedgePolicy : public HedgePolicy {
 public:
  std::optional<state::Duration> DelayOf(
      const state::ServiceId& /*service*/) override {
    return std::nullopt;
  }
  bool TryTake(const state::ServiceId& /*service*/) override { return false; }
  void OnSent(const state::ServiceId& /*service*/,
              std::size_t /*count*/) override {}
  void OnReplyTimes(const state::ServiceId& /*service*/,
                    const std::vector<state::Duration>& /*times*/) override {}
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_QUERY_NO_HEDGE_POLICY_H_
