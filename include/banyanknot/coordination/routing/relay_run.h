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

/// \brief State machine of one request: chooses servers, hedges and retries,
/// and decides when and how to answer.
///
/// A relayed request has one part, a gathered one a part for each shard. The
/// run holds the route table that its route came from, so all parts belong to
/// one version. A request that can't be served, or not before its deadline, is
/// answered as soon as this is known. Uses no sockets or timers; it returns
/// RelayEffects instead. Not thread-safe: the executor passes one event at a
/// time.
class RelayRun {
 public:
  /// \param table the table that contains `route`
  /// \param services one for each part
  RelayRun(RelayPolicies policies,
           std::shared_ptr<const state::RelayRequest> request,
           state::RouteTablePtr table, const state::Route& route,
           std::vector<state::ServiceId> services);

  RelayEffects Start(state::TimePoint now);
  RelayEffects OnResult(std::uint32_t attempt, const RelayResult& result,
                        state::TimePoint now);
  /// \brief Handles possible capacity at a service that a queued part waits
  /// for. Capacity that is not used is passed on in `freed_services`.
  RelayEffects OnCapacity(const state::ServiceId& service,
                          state::TimePoint now);
  /// \brief Fails the parts that could not be queued for a service because its
  /// queue is full.
  RelayEffects OnQueueFull(const state::ServiceId& service,
                           state::TimePoint now);
  RelayEffects OnTimer(state::TimePoint now);
  RelayEffects OnCallerGone(state::TimePoint now);
  /// \brief Answers with what is known, since this host is about to end.
  RelayEffects OnHostStopping(state::TimePoint now);

  /// \brief Returns true once the request is answered and no attempt is open.
  bool IsSettled() const;
  bool IsAnswered() const { return this->is_answered; }

  const state::RelayRequest& Request() const { return *this->request; }
  const std::shared_ptr<const state::RelayRequest>& RequestPtr() const {
    return this->request;
  }
  const state::Route& Route() const { return this->route; }
  std::uint64_t Version() const { return this->table->Version(); }
  const RelayCounts& Counts() const { return this->counts; }
  /// \brief Returns the queueing delay estimate that led to a rejection; zero
  /// if there was none.
  state::Duration EstimatedQueueingDelay() const {
    return this->admission.EstimatedQueueingDelay();
  }
  /// \brief Returns the priority of the caller's workspace, or else that of the
  /// route.
  unsigned Priority() const {
    return this->request->priority.value_or(this->route.priority);
  }
  state::TimePoint Deadline() const { return this->deadlines.hard; }
  /// \brief Lists a few of the parts without a reply, for the log.
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
  void RecordLateness(state::TimePoint now);
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
  std::optional<RelayReply> reply;  // of a relayed request only
  state::TimePoint next_timer_at;   // the last one requested
  bool is_answered = false;
  bool has_passed_soft = false;  // without enough parts for an answer
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_RELAY_RUN_H_
