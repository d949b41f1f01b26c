#ifndef BANYANKNOT_COORDINATION_DELEGATION_RELAY_DISPATCHER_H_
#define BANYANKNOT_COORDINATION_DELEGATION_RELAY_DISPATCHER_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>

#include "banyanknot/coordination/clock.h"
#include "banyanknot/coordination/delegation/gatherer_roster.h"
#include "banyanknot/coordination/delegation/host_link.h"
#include "banyanknot/coordination/event_log.h"
#include "banyanknot/coordination/metric_source.h"
#include "banyanknot/coordination/routing/relay_runner.h"
#include "banyanknot/coordination/routing/route_directory.h"
#include "banyanknot/coordination/routing/stop_admission.h"
#include "banyanknot/coordination/timer_service.h"
#include "banyanknot/state/sharded_table.h"

namespace banyanknot::coordination {

/// \brief Passes gathers to a roomier host of the same failure domain, and runs
/// everything else here.
///
/// A gather that the other host has not started runs here. One that it may have
/// started is not run again: its servers may be at work on it already. Both
/// hosts use the same version of the routes, or the request runs here.
/// Thread-safe.
class RelayDispatcher : public RelayRunner, public MetricSource {
 public:
  RelayDispatcher(const Clock& clock, TimerService& timers, HostLink& link,
                  GathererRoster& roster, const RouteDirectory& routes,
                  RelayRunner& local, EventLog& log);

  std::uint64_t Run(state::RelayRequest request,
                    RelayAnswerHandler handler) override;
  void Cancel(std::uint64_t number) override;
  void FinishBy(const StopSchedule& schedule) override;

  /// \brief Returns the number of delegated requests without an answer.
  std::size_t Unanswered() const { return this->delegations.Size(); }
  void CollectMetrics(std::vector<MetricSample>& samples) const override;

 private:
  struct Order;
  /// \brief A request at another host, or back here after it was declined.
  struct Delegation {
    std::shared_ptr<Order> order;
    std::shared_ptr<RelayCall> call;
    std::uint64_t local_number = kNoRun;
    bool is_answered = false;
  };

  const state::Route* FindGatherRoute(const state::RouteTable& table,
                                      const state::RelayRequest& request) const;
  std::uint64_t Delegate(const std::shared_ptr<Order>& order);
  void OnResult(const std::shared_ptr<Order>& order, DelegationResult result);
  void RunHere(const std::shared_ptr<Order>& order);
  void SuspectIfSilent(const std::shared_ptr<Order>& order);
  /// Answers the requests that other hosts have not answered yet.
  void EndDelegations();
  void LogFailure(const Order& order, DelegationFailure failure);

  const Clock& clock;
  TimerService& timers;
  HostLink& link;
  GathererRoster& roster;
  const RouteDirectory& routes;
  RelayRunner& local;
  EventLog& log;
  StopAdmission stop_admission;
  std::atomic<std::uint64_t> next_number{1};
  std::atomic<std::uint64_t> answered{0};
  std::atomic<std::uint64_t> returned{0};
  std::atomic<std::uint64_t> lost{0};
  std::atomic<std::int64_t> last_log_second{0};
  std::atomic<unsigned> logged_in_second{0};
  state::ShardedTable<std::uint64_t, Delegation> delegations;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_DELEGATION_RELAY_DISPATCHER_H_
