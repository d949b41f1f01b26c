#ifndef BANYANKNOT_COORDINATION_ROUTING_RELAY_RUN_H_
#define BANYANKNOT_COORDINATION_ROUTING_RELAY_RUN_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "banyanknot/coordination/routing/relay_effects.h"
#include "banyanknot/coordination/routing/relay_policies.h"
#include "banyanknot/coordination/routing/top_record_merger.h"
#include "banyanknot/state/routing/route_table.h"

namespace banyanknot::coordination {

/// \brief Counts of one run, for the log and the metrics.
struct RelayCounts {
  std::size_t parts = 0;
  std::size_t parts_in = 0;
  std::size_t sent = 0;     ///< requests to servers
  std::size_t extra = 0;    ///< of these, beyond the first of each part
  std::size_t unsent = 0;   ///< for which no connection was made
  std::size_t refused = 0;  ///< by servers, as not run
  std::size_t erred = 0;    ///< ended in a failure or in nothing
};

/// \brief Decides one request: where its parts go, when another server is
/// asked too, when there is an answer and which.
///
/// A relayed request has one part, a gathered one a part for each shard. The
/// run is one version's: it keeps the table that its route came from. Pure of
/// sockets and timers. Not thread-safe: its executor hands it one event at a
/// time.
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
  state::TimePoint End() const { return this->end; }
  /// \brief The services whose parts are not in, a few of them, for the log.
  std::string MissingText() const;

 private:
  struct Part {
    state::ServiceId service;
    std::vector<state::InstanceId> tried;
    std::size_t arrivals = 0;  // requests that may have reached a server
    std::size_t unsent = 0;
    std::size_t open = 0;  // attempts that wait for a reply
    bool is_in = false;
    bool is_waiting = false;  // for room
    bool may_have_run = false;
    state::TimePoint hedge_at;          // the end of time if there is none
    std::optional<RelayReply> failure;  // a server's own
  };

  struct Attempt {
    std::size_t part = 0;
    TrackedServerPtr server;
    state::TimePoint sent_at;
    bool is_open = true;
  };

  bool CanReachFloor(state::TimePoint now) const;
  bool Launch(Part& part, state::TimePoint now, RelayEffects& effects);
  void LaunchOrWait(Part& part, state::TimePoint now, RelayEffects& effects);
  bool MayLaunch(const Part& part) const;
  bool PaysFor(const Part& part, state::TimePoint now);
  void Hedge(state::TimePoint now, RelayEffects& effects);
  AttemptEnd Classify(const RelayResult& result) const;
  void TakePart(Part& part, const RelayReply& reply);
  void TakeFailure(Part& part, AttemptEnd end, const RelayResult& result,
                   state::TimePoint now, RelayEffects& effects);
  void Evaluate(state::TimePoint now, RelayEffects& effects);
  void EvaluateGather(state::TimePoint now, RelayEffects& effects);
  void EvaluateRelay(state::TimePoint now, RelayEffects& effects);
  void AnswerMerged(RelayEffects& effects);
  void AnswerReply(RelayReply reply, RelayEffects& effects);
  void Fail(state::RelayOutcome if_run, const char* reason,
            state::TimePoint now, RelayEffects& effects);
  void Withdraw(state::TimePoint now, RelayEffects& effects);
  void SetWake(state::TimePoint now, RelayEffects& effects);
  state::Duration DrawRetryAfter();

  RelayPolicies policies;
  const std::shared_ptr<const state::RelayRequest> request;
  const state::RouteTablePtr table;
  const state::Route& route;
  const std::size_t needed;  // parts of the least answer
  std::vector<Part> parts;
  std::vector<Attempt> attempts;
  TopRecordMerger merger;
  std::vector<std::string> signatures;
  std::optional<RelayReply> reply;  // of a relayed request
  state::TimePoint due;      // when an answer is sent with the parts at hand
  state::TimePoint end;      // when there is no more use in an answer
  state::TimePoint wake_at;  // the next one that was asked for
  RelayCounts counts;
  bool is_answered = false;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_RELAY_RUN_H_
