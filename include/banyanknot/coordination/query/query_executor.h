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

/// \brief Runs queries: passes events to each QueryRun and applies its effects.
///
/// Thread-safe. Runs are in a sharded table. One thread at a time processes the
/// events of a run, with no lock held, so that no callback runs under a shard's
/// lock. Events that arrive meanwhile are queued in the run's inbox; the same
/// thread processes them next.
class QueryExecutor {
 public:
  /// \param origin chosen at random by each incarnation of the host
  /// \param policies must outlive the executor
  QueryExecutor(std::uint64_t origin, const Clock& clock, TimerService& timers,
                BackendClient& backend, const state::CatalogueTable& catalogue,
                const QueryPolicies& policies, state::QueryCounters& counters);

  /// \brief Starts a query.
  /// \param handler called exactly once, possibly before Run() returns
  /// \returns the id to pass to Cancel()
  state::RequestId Run(const state::Query& query, AnswerHandler handler);

  /// \brief Ends a query whose caller has disconnected.
  ///
  /// Its handler is still called.
  void Cancel(const state::RequestId& id);

  /// \brief Returns the number of queries without an answer or with open
  /// attempts.
  std::size_t InFlight() const;

 private:
  enum class EventKind {
    kStart,
    kResult,
    kTimer,
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
    bool is_processing = false;  // a thread processes events of this run
  };

  struct Refusal {
    state::Outcome outcome = state::Outcome::kNotRun;
    std::string reason;
    state::Duration retry_after{0};
  };

  std::optional<Refusal> AdmitAndStart(const state::RequestId& id,
                                       const state::Query& query,
                                       AnswerHandler& handler);
  /// Returns the refusal for a service without a usable shard map.
  Refusal MakeRefusal(ShardMapError error) const;
  void Start(const state::RequestId& id, Entry entry);
  void Post(const state::RequestId& id, Event event);
  void ProcessEvents(const state::RequestId& id, QueryRun& run, Event first);
  std::vector<Event> TakeInbox(const state::RequestId& id);
  QueryEffects Handle(QueryRun& run, Event event);
  void ApplyEffects(const state::RequestId& id, const QueryRun& run,
                    QueryEffects effects);
  void PostAt(state::TimePoint when, const state::RequestId& id,
              EventKind kind);
  void DeliverAnswer(const state::RequestId& id, const QueryRun& run,
                     state::Answer answer);
  void Send(const state::RequestId& id, const state::SubRequest& request);
  void RemoveIfComplete(const state::RequestId& id, const QueryRun& run);

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
