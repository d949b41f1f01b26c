#ifndef BANYANKNOT_COORDINATION_ROUTING_RELAY_EXECUTOR_H_
#define BANYANKNOT_COORDINATION_ROUTING_RELAY_EXECUTOR_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "banyanknot/coordination/clock.h"
#include "banyanknot/coordination/routing/capacity_queue.h"
#include "banyanknot/coordination/routing/relay_journal.h"
#include "banyanknot/coordination/routing/relay_run.h"
#include "banyanknot/coordination/routing/relay_runner.h"
#include "banyanknot/coordination/routing/route_directory.h"
#include "banyanknot/coordination/routing/server_health_checker.h"
#include "banyanknot/coordination/routing/split_chooser.h"
#include "banyanknot/coordination/routing/stop_admission.h"
#include "banyanknot/coordination/timer_service.h"
#include "banyanknot/state/sharded_table.h"

namespace banyanknot::coordination {

/// \brief Runs relayed and gathered requests: passes events to each RelayRun
/// and applies its effects.
///
/// Runs are kept in a sharded table. The events of a run are handled by one
/// thread at a time, with no shard locked. Thread-safe.
class RelayExecutor : public RelayRunner {
 public:
  RelayExecutor(const Clock& clock, TimerService& timers, RelayClient& client,
                const RouteDirectory& routes, RelayPolicies policies,
                CapacityQueue& queue, ServerHealthChecker& checker,
                RelayJournal& journal);

  std::uint64_t Run(state::RelayRequest request,
                    RelayAnswerHandler handler) override;
  void Cancel(std::uint64_t number) override;
  void FinishBy(const StopSchedule& schedule) override;

  /// \brief Returns the number of requests without an answer.
  std::size_t Unanswered() const { return this->unanswered; }

 private:
  /// \brief A run with its pending events and open calls.
  struct Entry {
    std::shared_ptr<RelayRun> run;
    RelayAnswerHandler handler;
    std::vector<std::function<RelayEffects(RelayRun&)>> pending_events;
    std::unordered_map<std::uint32_t, std::shared_ptr<RelayCall>> calls;
    bool is_busy = false;  // a thread is handling its events
  };
  using Event = std::function<RelayEffects(RelayRun&)>;

  std::uint64_t Refuse(const state::RelayRequest& request,
                       state::RelayOutcome outcome, state::Duration retry_after,
                       const state::RouteTablePtr& table,
                       const RelayAnswerHandler& handler);
  bool IsAdmittedWhileStopping(const state::RelayRequest& request,
                               const state::Route& route,
                               const std::vector<state::ServiceId>& services);
  void EndAll();
  void Post(std::uint64_t number, Event event);
  void HandleEvents(std::uint64_t number, const std::shared_ptr<RelayRun>& run,
                    Event event);
  void ApplyEffects(std::uint64_t number, const std::shared_ptr<RelayRun>& run,
                    RelayEffects effects);
  void Enqueue(std::uint64_t number, const RelayRun& run,
               const CapacityWait& wait);
  void Send(std::uint64_t number, const RelayRun& run,
            const SendCommand& order);
  void CancelAttempt(std::uint64_t number, std::uint32_t attempt);
  void Answer(std::uint64_t number, const RelayRun& run,
              const RelayAnswer& answer);
  void DispatchNext(const state::ServiceId& service);

  const Clock& clock;
  TimerService& timers;
  RelayClient& client;
  const RouteDirectory& routes;
  RelayPolicies policies;
  CapacityQueue& queue;
  ServerHealthChecker& checker;
  RelayJournal& journal;
  SplitChooser splits;
  StopAdmission stop_admission;
  std::atomic<std::uint64_t> next_number{1};
  std::atomic<std::size_t> unanswered{0};
  state::ShardedTable<std::uint64_t, Entry> entries;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_RELAY_EXECUTOR_H_
