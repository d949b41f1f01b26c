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
#include "banyanknot/coordination/routing/route_directory.h"
#include "banyanknot/coordination/routing/server_health_checker.h"
#include "banyanknot/coordination/routing/split_chooser.h"
#include "banyanknot/coordination/timer_service.h"
#include "banyanknot/state/sharded_table.h"

namespace banyanknot::coordination {

using RelayAnswerHandler = std::function<void(const RelayAnswer&)>;

/// \brief Runs relayed and gathered requests: feeds events to each RelayRun
/// and does what it asks.
///
/// Thread-safe. Runs live in a sharded table; one thread at a time handles the
/// events of a run, with no shard locked.
class RelayExecutor {
 public:
  static constexpr std::uint64_t kNoRun = 0;

  RelayExecutor(const Clock& clock, TimerService& timers, RelayClient& client,
                const RouteDirectory& routes, RelayPolicies policies,
                CapacityQueue& queue, ServerHealthChecker& checker,
                RelayJournal& journal);

  /// \brief Runs a request.
  /// \param handler called exactly once, possibly before Run() returns; not
  ///     called for a request that was cancelled
  /// \returns the number by which Cancel() knows it; kNoRun if it was
  ///     refused at once
  std::uint64_t Run(state::RelayRequest request, RelayAnswerHandler handler);

  /// \brief Gives up a request whose caller has left.
  void Cancel(std::uint64_t number);

  /// \brief Number of requests without an answer yet.
  std::size_t Unanswered() const { return this->unanswered; }

 private:
  /// \brief One run and what is needed to feed it.
  struct Entry {
    std::shared_ptr<RelayRun> run;
    RelayAnswerHandler handler;
    std::vector<std::function<RelayEffects(RelayRun&)>> pending_events;
    std::unordered_map<std::uint32_t, std::shared_ptr<RelayCall>> calls;
    bool is_busy = false;  // a thread handles events of this run
  };
  using Event = std::function<RelayEffects(RelayRun&)>;

  std::uint64_t Refuse(const state::RelayRequest& request,
                       state::RelayOutcome outcome,
                       const RelayAnswerHandler& handler);
  void Post(std::uint64_t number, Event event);
  void HandleEvents(std::uint64_t number, const std::shared_ptr<RelayRun>& run,
                    Event event);
  void ApplyEffects(std::uint64_t number, const std::shared_ptr<RelayRun>& run,
                    RelayEffects effects);
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
  std::atomic<std::uint64_t> next_number{1};
  std::atomic<std::size_t> unanswered{0};
  state::ShardedTable<std::uint64_t, Entry> entries;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_RELAY_EXECUTOR_H_
