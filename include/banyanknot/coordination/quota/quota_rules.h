#ifndef BANYANKNOT_COORDINATION_QUOTA_QUOTA_RULES_H_
#define BANYANKNOT_COORDINATION_QUOTA_QUOTA_RULES_H_

#include <vector>

#include "banyanknot/state/identifier.h"
#include "banyanknot/state/util/time.h"

namespace banyanknot::coordination {

/// \brief What the quotas of a deployment promise.
///
/// In every span of `window`, the requests of a workspace that run, summed over
/// all hosts, number at most `(rate x window + burst) x (1 + over) + slack`.
struct QuotaRules {
  state::Duration window = state::Milliseconds(5'000);
  double over = 0;   ///< share of the quota
  double slack = 0;  ///< requests
  /// The failure domains of the fleet, among which quotas are divided.
  std::vector<state::FailureDomainId> domains;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_QUOTA_QUOTA_RULES_H_
