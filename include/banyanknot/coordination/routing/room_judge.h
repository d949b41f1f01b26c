#ifndef BANYANKNOT_COORDINATION_ROUTING_ROOM_JUDGE_H_
#define BANYANKNOT_COORDINATION_ROUTING_ROOM_JUDGE_H_

#include "banyanknot/coordination/routing/relay_parts.h"
#include "banyanknot/coordination/routing/relay_policies.h"
#include "banyanknot/coordination/routing/relay_times.h"
#include "banyanknot/state/routing/route.h"

namespace banyanknot::coordination {

/// \brief Why a part gets no server.
enum class Shortage {
  kNone,
  kNoServer,          ///< none may get work
  kNoCapacityInTime,  ///< all are taken, and a reply would come after the end
};

/// \brief Judges for one request whether its parts are served in time, and
/// when its caller should come back if they are not.
///
/// Not thread-safe.
class RoomJudge {
 public:
  RoomJudge(const RelayPolicies& policies, const state::Route& route,
            state::TimePoint end)
      : policies(policies), route(route), end(end) {}

  /// \brief What keeps a part that nothing was sent for from its server.
  Shortage ShortageOf(const RelayPart& part, state::TimePoint now) const;

  /// \brief What keeps the request from its least answer, before anything is
  /// sent.
  /// \param needed parts of the least answer
  Shortage FloorShortage(const RelayParts& parts, std::size_t needed,
                         state::TimePoint now);

  /// \brief Tells of a part that waited whether a reply would come too late.
  bool IsTooLate(const RelayPart& part, state::TimePoint now) const;

  /// \brief Notes that a part found no room in time.
  void NoteCrowded(const RelayPart& part);
  bool IsCrowded() const { return this->crowded_wait.wait.count() > 0; }
  /// \brief What was foretold where there was no room; zero if nothing was.
  state::Duration CrowdedWait() const { return this->crowded_wait.wait; }

  /// \brief How long a caller that is turned away should stay away.
  state::Duration ReturnAfter(state::TimePoint now) const;

 private:
  ExpectedWait ForecastFor(const RelayPart& part) const;

  const RelayPolicies policies;
  const state::Route& route;
  const state::TimePoint end;
  state::ServiceId crowded_service;
  ExpectedWait crowded_wait;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_ROOM_JUDGE_H_
