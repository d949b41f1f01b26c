#ifndef BANYANKNOT_COORDINATION_ROUTING_EXTRA_REQUEST_BUDGET_H_
#define BANYANKNOT_COORDINATION_ROUTING_EXTRA_REQUEST_BUDGET_H_

#include "banyanknot/coordination/routing/sliding_count.h"
#include "banyanknot/state/identifier.h"
#include "banyanknot/state/sharded_table.h"

namespace banyanknot::coordination {

/// \brief What a host may add to a service's load by hedges and retries.
struct ExtraRequestLimits {
  /// Share of the requests of the last window. The users bear 0.2 over all
  /// hosts; the difference is for windows that slide apart.
  double share = 0.17;
  /// Beside the share, in each window. Small enough that all hosts of a
  /// deployment together stay below what the users bear, whatever each host
  /// knows of the others.
  double fixed = 2;
};

/// \brief Bounds hedges and retries, a service by itself.
///
/// Needs no word from other hosts: the shares of all hosts add up to the same
/// share of all requests. Thread-safe.
class ExtraRequestBudget {
 public:
  explicit ExtraRequestBudget(ExtraRequestLimits limits) : limits(limits) {}

  /// \brief Notes the first request for a service.
  void RecordRequest(const state::ServiceId& service, state::TimePoint now);
  /// \brief Takes one extra request.
  /// \returns false if the budget of the last window is spent
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
