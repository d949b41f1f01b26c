#ifndef BANYANKNOT_COORDINATION_QUERY_QUERY_EXECUTOR_H_
#define BANYANKNOT_COORDINATION_QUERY_QUERY_EXECUTOR_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "banyanknot/coordination/backend_client.h"
#include "banyanknot/coordination/clock.h"
#include "banyanknot/coordination/query/query_policies.h"
#include "banyanknot/coordination/query/query_run.h"
#include "banyanknot/coordination/query/shard_map_table.h"
#include "banyanknot/coordination/timer_service.h"
#include "banyanknot/state/catalogue_table.h"
#include "banyanknot/state/query_counters.h"
#include "banyanknot/state/sharded_table.h"

namespace banyanknot::coordination {

using AnswerHandler = std::function<void(state::Answer)>;

/// \brief Runs queries: feeds events to each QueryRun and does what it asks.
///
/// Thread-safe. Runs live in a sharded table. One thread at a time handles the
/// events of a run, with no lock held, so nothing is called out of a shard
/// while it is locked; events that come meanwhile wait in the run's inbox and
/// are handled by that thread next.
class QueryExecutor {
 public:
  /// \param origin drawn at random for this incarnation of the host
  /// \param policies must outlive the executor
  QueryExecutor(std::uint64_t origin, const Clock& clock, TimerService& timers,
                BackendClient& backend, const state::CatalogueTable& catalogue,
                const QueryPolicies& policies, state::QueryCounters& counters);

  /// \brief Runs a query.
  /// \param handler called exactly once, possibly before Run() returns
  /// \returns the id by which Cancel() knows the query
  state::RequestId Run(const state::Query& query, AnswerHandler handler);

  /// \brief Stops a query whose caller has gone; its handler is still called.
  void Cancel(const state::RequestId& id);

  /// \brief Number of queries that still have attempts or no answer yet.
  std::size_t InFlight() const;

 private:
  enum class EventKind {
    kStart,
    kResult,
    kWake,
    kStop,
  };

  struct Event {
    EventKind kind = EventKind::kStart;
    std::uint32_t attempt = 0;            // of kResult
    std::optional<BackendResult> result;  // of kResult
  };

  struct Entry {
    std::shared_ptr<QueryRun> run;
    AnswerHandler handler;
    AdmissionTicket ticket;
    std::vector<Event> inbox;
    bool is_draining = false;  // a thread is handling events of this run
  };

  struct Refusal {
    state::Outcome outcome = state::Outcome::kNotRun;
    std::string reason;
    state::Duration retry_after{0};
  };

  std::optional<Refusal> Begin(const state::RequestId& id,
                               const state::Query& query,
                               AnswerHandler& handler);
  /// Refuses a service that has no usable shard map.
  Refusal RefuseFor(ShardMapFault fault) const;
  void Start(const state::RequestId& id, Entry entry);
  void Post(const state::RequestId& id, Event event);
  void Drain(const state::RequestId& id, QueryRun& run, Event first);
  std::vector<Event> TakeInbox(const state::RequestId& id);
  QueryEffects Handle(QueryRun& run, Event event);
  void Perform(const state::RequestId& id, const QueryRun& run,
               QueryEffects effects);
  void PostAt(state::TimePoint when, const state::RequestId& id,
              EventKind kind);
  void Answer(const state::RequestId& id, const QueryRun& run,
              state::Answer answer);
  void Send(const state::RequestId& id, const state::SubRequest& request);
  void RemoveIfSettled(const state::RequestId& id, const QueryRun& run);

  const std::uint64_t origin;
  const Clock& clock;
  TimerService& timers;
  BackendClient& backend;
  const state::CatalogueTable& catalogue;
  const QueryPolicies policies;
  state::QueryCounters& counters;
  ShardMapTable maps;
  std::atomic<std::uint64_t> next_sequence{1};
  state::ShardedTable<state::RequestId, Entry> entries;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_QUERY_QUERY_EXECUTOR_H_
