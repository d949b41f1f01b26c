#include "banyanknot/coordination/routing/room_judge.h"

namespace banyanknot::coordination {
namespace {

/// Turns in a line come unevenly: a forecast is taken for this part longer.
constexpr int kUnevenTurns = 4;

}  // namespace

ExpectedWait RoomJudge::ForecastFor(const RelayPart& part) const {
  return this->policies.waits.Forecast(part.service,
                                       {0, this->route.priority, this->end});
}

Shortage RoomJudge::ShortageOf(const RelayPart& part,
                               state::TimePoint now) const {
  const ServerPicker& picker = this->policies.picker;
  if (!picker.HasUsable(part.service, part.tried, now)) {
    return Shortage::kNoServer;
  }
  const state::Duration wait = this->ForecastFor(part).wait;
  if (wait.count() == 0) return Shortage::kNone;
  const bool is_late = this->IsTooLate(part, now + wait + wait / kUnevenTurns);
  return is_late && !picker.HasRoom(part.service, part.tried, now)
             ? Shortage::kNoCapacityInTime
             : Shortage::kNone;
}

Shortage RoomJudge::FloorShortage(const RelayParts& parts, std::size_t needed,
                                  state::TimePoint now) {
  std::size_t served = 0;
  Shortage worst = Shortage::kNone;
  for (const RelayPart& part : parts.All()) {
    const Shortage shortage = this->ShortageOf(part, now);
    if (shortage == Shortage::kNone) {
      ++served;
    } else if (worst != Shortage::kNoServer) {
      worst = shortage;
      this->NoteCrowded(part);
    }
  }
  return served >= needed ? Shortage::kNone : worst;
}

bool RoomJudge::IsTooLate(const RelayPart& part, state::TimePoint now) const {
  return now + this->policies.picker.UsualReply(part.service, now) >= this->end;
}

void RoomJudge::NoteCrowded(const RelayPart& part) {
  this->crowded_service = part.service;
  this->crowded_wait = this->ForecastFor(part);
}

state::Duration RoomJudge::ReturnAfter(state::TimePoint now) const {
  return this->policies.returns.ReturnAfter(this->crowded_service,
                                            this->crowded_wait, now);
}

}  // namespace banyanknot::coordination
