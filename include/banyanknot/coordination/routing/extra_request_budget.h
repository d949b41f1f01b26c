#ifndef BANYANKNOT_COORDINATION_ROUTING_EXTRA_REQUEST_BUDGET_H_
#define BANYANKNOT_COORDINATION_ROUTING_EXTRA_REQUEST_BUDGET_H_

#include "banyanknot/coordination/routing/sliding_count.h"
#include "banyanknot/state/identifier.h"
#include "banyanknot/state/sharded_table.h"

namespace banyanknot::coordination {

/// \brief Limits of one host on hedges and retries at a service.
struct ExtraRequestLimits {
  /// Fraction of the requests in the sliding window. Users accept 0.2 over all
  /// hosts; the margin covers windows of hosts that are not aligned.
  double share = 0.17;
  /// Allowed in each window in addition to the share. Small enough that all
  /// hosts of a deployment together stay below what users accept, without
  /// coordination between hosts.
  double fixed = 2;
};

/// \brief Limits hedges and retries for each service separately.
///
/// Needs no coordination between hosts: if each host keeps to the share of its
/// own requests, all keep to the same share of all requests. Thread-safe.
class ExtraRequestBudget {
 public:
  explicit ExtraRequestBudget(ExtraRequestLimits limits) : limits(limits) {}

  /// \brief Records the first attempt of a request at a service.
  void RecordRequest(const state::ServiceId& service, state::TimePoint now);
  /// \brief Consumes budget for one extra request.
  /// \returns false if the budget of the window is exhausted
  bool TryAcquire(const state::ServiceId& service, state::TimePoint now);

 private:
  struct Usage {
    SlidingCount requests;
    SlidingCount extras;
  };

  const ExtraRequestLimits limits;
  state::ShardedTable<state::ServiceId, Usage> usage;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_EXTRA_REQUEST_BUDGET_H_
