#ifndef BANYANKNOT_COORDINATION_QUERY_NO_HEDGE_POLICY_H_
#define BANYANKNOT_COORDINATION_QUERY_NO_HEDGE_POLICY_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "banyanknot/coordination/query/hedge_policy.h"

namespace banyanknot::coordination {

/// \brief Baseline: never hedges.
class NoHedgePolicy : public HedgePolicy {
 public:
  std::optional<state::Duration> DelayOf(
      const state::ServiceId& /*service*/) override {
    return std::nullopt;
  }
  bool TryAcquire(const state::ServiceId& /*service*/) override {
    return false;
  }
  void RecordSent(const state::ServiceId& /*service*/,
                  std::size_t /*count*/) override {}
  void RecordReplyTimes(
      const state::ServiceId& /*service*/,
      const std::vector<state::Duration>& /*times*/) override {}
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_QUERY_NO_HEDGE_POLICY_H_
