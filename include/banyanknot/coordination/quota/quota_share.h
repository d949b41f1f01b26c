#ifndef BANYANKNOT_COORDINATION_QUOTA_QUOTA_SHARE_H_
#define BANYANKNOT_COORDINATION_QUOTA_QUOTA_SHARE_H_

#include "banyanknot/coordination/quota/quota_rules.h"
#include "banyanknot/state/routing/workspace.h"

namespace banyanknot::coordination {

/// \brief One failure domain's part of a quota.
///
/// The parts of all domains make up the quota whether or not the domains reach
/// each other.
struct QuotaShare {
  double rate = 0;      ///< credit per second
  double capacity = 0;  ///< most credit kept, at least one request
  /// Requests that may run ahead of the credit, from what the rules allow
  /// beyond the quota.
  double overdraft = 0;
  /// Over which the overdraft of a new account becomes available.
  state::Duration window{0};
};

/// \brief Divides a quota evenly among the failure domains.
QuotaShare ShareOf(const state::Quota& quota, const QuotaRules& rules);

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_QUOTA_QUOTA_SHARE_H_
