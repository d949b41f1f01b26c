#ifndef BANYANKNOT_COORDINATION_ROUTING_RELAY_RUN_H_
#define BANYANKNOT_COORDINATION_ROUTING_RELAY_RUN_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "banyanknot/coordination/routing/relay_admission.h"
#include "banyanknot/coordination/routing/relay_deadlines.h"
#include "banyanknot/coordination/routing/relay_effects.h"
#include "banyanknot/coordination/routing/relay_parts.h"
#include "banyanknot/coordination/routing/relay_policies.h"
#include "banyanknot/coordination/routing/top_record_merger.h"
#include "banyanknot/state/routing/route_table.h"

namespace banyanknot::coordination {

/// \brief Decides one request: where its parts go, when another server is
/// asked too, when there is an answer and which.
///
/// A relayed request has one part, a gathered one a part for each shard. The
/// run is one version's: it keeps the table that its route came from. What
/// can't be served, or no more in time, is answered the moment that is known.
/// Pure of sockets and timers. Not thread-safe: its executor hands it one event
/// at a time.
class RelayRun {
 public:
  /// \param table of which `route` is a member
  /// \param services to which the parts go, one each
  RelayRun(RelayPolicies policies,
           std::shared_ptr<const state::RelayRequest> request,
           state::RouteTablePtr table, const state::Route& route,
           std::vector<state::ServiceId> services);

  RelayEffects Start(state::TimePoint now);
  RelayEffects OnResult(std::uint32_t attempt, const RelayResult& result,
                        state::TimePoint now);
  /// \brief A service that a part waits for may have room; one that is not
  /// taken up stands in the effects as freed.
  RelayEffects OnCapacity(const state::ServiceId& service,
                          state::TimePoint now);
  /// \brief The line for a service is full: a part that waits for it ends.
  RelayEffects OnQueueFull(const state::ServiceId& service,
                           state::TimePoint now);
  RelayEffects OnTimer(state::TimePoint now);
  RelayEffects OnCallerGone(state::TimePoint now);

  /// \brief Tells whether it has answered and waits for no server any more.
  bool IsSettled() const;
  bool IsAnswered() const { return this->is_answered; }

  const state::RelayRequest& Request() const { return *this->request; }
  const std::shared_ptr<const state::RelayRequest>& RequestPtr() const {
    return this->request;
  }
  const state::Route& Route() const { return this->route; }
  std::uint64_t Version() const { return this->table->Version(); }
  const RelayCounts& Counts() const { return this->counts; }
  /// \brief What was foretold where there was no room in time; zero if
  /// nothing was.
  state::Duration EstimatedQueueingDelay() const {
    return this->admission.EstimatedQueueingDelay();
  }
  state::TimePoint Deadline() const { return this->deadlines.hard; }
  /// \brief The services whose parts are not in, a few of them, for the log.
  std::string DescribeMissing() const { return this->parts.DescribeMissing(); }

 private:
  bool TryLaunch(RelayPart& part, state::TimePoint now, RelayEffects& effects);
  void LaunchOrQueue(RelayPart& part, state::TimePoint now,
                     RelayEffects& effects);
  bool MayAttempt(const RelayPart& part) const;
  bool TryConsumeBudget(const RelayPart& part, state::TimePoint now);
  void SendDueHedges(state::TimePoint now, RelayEffects& effects);
  AttemptOutcome Classify(const RelayResult& result) const;
  void HandleReply(RelayPart& part, const RelayReply& reply);
  void HandleFailure(RelayPart& part, AttemptOutcome outcome,
                     const RelayResult& result, state::TimePoint now,
                     RelayEffects& effects);
  void CountFailure(RelayPart& part, AttemptOutcome outcome);
  void Evaluate(state::TimePoint now, RelayEffects& effects);
  void EvaluateGather(state::TimePoint now, RelayEffects& effects);
  void EvaluateRelay(state::TimePoint now, RelayEffects& effects);
  void FailIfUnreachable(state::TimePoint now, RelayEffects& effects);
  void AnswerMerged(RelayEffects& effects);
  void AnswerReply(RelayReply reply, RelayEffects& effects);
  void Fail(state::RelayOutcome if_run, state::RelayReason reason,
            state::TimePoint now, RelayEffects& effects);
  void ScheduleTimer(state::TimePoint now, RelayEffects& effects);

  RelayPolicies policies;
  const std::shared_ptr<const state::RelayRequest> request;
  const state::RouteTablePtr table;
  const state::Route& route;
  const RelayDeadlines deadlines;
  RelayParts parts;
  RelayCounts counts;
  RelayAdmission admission;
  TopRecordMerger merger;
  std::vector<std::string> signatures;
  std::optional<RelayReply> reply;  // of a relayed request
  state::TimePoint next_timer_at;   // the next one that was asked for
  bool is_answered = false;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_RELAY_RUN_H_
