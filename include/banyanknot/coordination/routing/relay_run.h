#ifndef BANYANKNOT_COORDINATION_ROUTING_RELAY_RUN_H_
#define BANYANKNOT_COORDINATION_ROUTING_RELAY_RUN_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "banyanknot/coordination/routing/relay_effects.h"
#include "banyanknot/coordination/routing/relay_parts.h"
#include "banyanknot/coordination/routing/relay_policies.h"
#include "banyanknot/coordination/routing/relay_times.h"
#include "banyanknot/coordination/routing/room_judge.h"
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
  RelayEffects OnRoom(const state::ServiceId& service, state::TimePoint now);
  /// \brief The line for a service is full: a part that waits for it ends.
  RelayEffects OnNoRoom(const state::ServiceId& service, state::TimePoint now);
  RelayEffects OnWake(state::TimePoint now);
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
  state::Duration CrowdedWait() const { return this->room.CrowdedWait(); }
  state::TimePoint End() const { return this->times.end; }
  /// \brief The services whose parts are not in, a few of them, for the log.
  std::string MissingText() const { return this->parts.MissingText(); }

 private:
  bool Launch(RelayPart& part, state::TimePoint now, RelayEffects& effects);
  void LaunchOrWait(RelayPart& part, state::TimePoint now,
                    RelayEffects& effects);
  bool MayLaunch(const RelayPart& part) const;
  bool PaysFor(const RelayPart& part, state::TimePoint now);
  void Hedge(state::TimePoint now, RelayEffects& effects);
  AttemptEnd Classify(const RelayResult& result) const;
  void TakePart(RelayPart& part, const RelayReply& reply);
  void TakeFailure(RelayPart& part, AttemptEnd end, const RelayResult& result,
                   state::TimePoint now, RelayEffects& effects);
  void CountFailure(RelayPart& part, AttemptEnd end);
  void Evaluate(state::TimePoint now, RelayEffects& effects);
  void EvaluateGather(state::TimePoint now, RelayEffects& effects);
  void EvaluateRelay(state::TimePoint now, RelayEffects& effects);
  void EndIfHopeless(state::TimePoint now, RelayEffects& effects);
  void AnswerMerged(RelayEffects& effects);
  void AnswerReply(RelayReply reply, RelayEffects& effects);
  void Fail(state::RelayOutcome if_run, state::RelayReason reason,
            state::TimePoint now, RelayEffects& effects);
  void SetWake(state::TimePoint now, RelayEffects& effects);

  RelayPolicies policies;
  const std::shared_ptr<const state::RelayRequest> request;
  const state::RouteTablePtr table;
  const state::Route& route;
  const RelayTimes times;
  RelayParts parts;
  RelayCounts counts;
  RoomJudge room;
  TopRecordMerger merger;
  std::vector<std::string> signatures;
  std::optional<RelayReply> reply;  // of a relayed request
  state::TimePoint wake_at;         // the next one that was asked for
  bool is_answered = false;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_RELAY_RUN_H_
