#include "banyanknot/coordination/servers/server_phase_rules.h"

#include <algorithm>
#include <utility>

namespace banyanknot::coordination {
namespace {

constexpr std::size_t kMaxLeftInstances = 8;
constexpr int kUsualLatencyWeight = 32;

bool HasLeft(const state::ServerRecord& record,
             const state::InstanceId& instance) {
  return std::find(record.left_instances.begin(), record.left_instances.end(),
                   instance) != record.left_instances.end();
}

void RememberLeft(state::ServerRecord& record,
                  const state::InstanceId& instance) {
  if (HasLeft(record, instance)) return;
  if (record.left_instances.size() >= kMaxLeftInstances) {
    record.left_instances.erase(record.left_instances.begin());
  }
  record.left_instances.push_back(instance);
}

void AddUsualLatency(state::ServerRecord& record, state::Duration latency) {
  record.usual_latency =
      record.usual_latency.count() == 0
          ? latency
          : record.usual_latency +
                (latency - record.usual_latency) / kUsualLatencyWeight;
}

MaybePhaseChange Enter(state::ServerRecord& record, state::ServerPhase phase,
                       PhaseCause cause, state::TimePoint since) {
  const state::ServerPhase from = std::exchange(record.phase, phase);
  record.phase_since = since;
  record.ramp_step_since = since;
  record.needs_confirmation = false;
  record.good_replies = 0;
  record.slow_replies = 0;
  record.ramp_step = 0;
  return ServerPhaseChange{record.instance, from, phase, cause};
}

MaybePhaseChange EnterLeaving(state::ServerRecord& record, PhaseCause cause,
                              state::TimePoint now) {
  RememberLeft(record, record.instance);
  if (record.phase == state::ServerPhase::kLeaving) return std::nullopt;
  return Enter(record, state::ServerPhase::kLeaving, cause, now);
}

void SwitchTo(state::ServerRecord& record, const state::InstanceId& instance,
              state::TimePoint first_seen) {
  if (record.previous_sighting.instance == instance) {
    first_seen = std::min(first_seen, record.previous_sighting.first_seen);
  }
  if (!record.instance.IsEmpty()) {
    record.previous_sighting = {record.instance, record.sighting.first_seen};
  }
  record.instance = instance;
  record.sighting = {instance, first_seen};
}

/// Takes the instance that answered; a new one counts as cold.
MaybePhaseChange SeeInstance(state::ServerRecord& record,
                             const state::InstanceId& instance,
                             state::TimePoint now) {
  if (record.instance == instance) return std::nullopt;
  const bool is_first = record.instance.IsEmpty();
  SwitchTo(record, instance, now);
  if (is_first && record.phase == state::ServerPhase::kUnknown) {
    record.phase_since = now;
    record.ramp_step_since = now;
    return std::nullopt;
  }
  return Enter(record, state::ServerPhase::kCold, PhaseCause::kNewInstance,
               now);
}

/// Tells whether a reply or report of `instance` is older than what is known.
bool IsOutdated(const state::ServerRecord& record,
                const state::InstanceId& instance, state::TimePoint sent_at) {
  return instance == record.previous_sighting.instance &&
         instance != record.instance && sent_at <= record.sighting.first_seen;
}

bool IsRefusalOrFailure(state::ReplyStatus status) {
  return status == state::ReplyStatus::kShed ||
         status == state::ReplyStatus::kFailed;
}

}  // namespace

MaybePhaseChange ServerPhaseRules::OnReply(state::ServerRecord& record,
                                           const state::SubReply& reply,
                                           state::TimePoint granted_at,
                                           state::TimePoint now) const {
  const state::InstanceId& instance = reply.report.instance;
  const bool is_leaving =
      reply.report.leaving || reply.status == state::ReplyStatus::kDraining;
  if (IsOutdated(record, instance, granted_at)) return std::nullopt;
  if (HasLeft(record, instance) && instance != record.instance) {
    return std::nullopt;
  }
  const bool lost_warmth =
      instance == record.instance && record.report.warm && !reply.report.warm;
  MaybePhaseChange change = SeeInstance(record, instance, now);
  record.report = reply.report;
  record.reported_at = now;
  if (is_leaving) {
    return EnterLeaving(record, PhaseCause::kReportedLeaving, now);
  }
  if (change || record.phase == state::ServerPhase::kLeaving) return change;
  if (lost_warmth && record.phase == state::ServerPhase::kWarm) {
    return this->PresumeCold(record, PhaseCause::kLostWarmth, now);
  }
  if (granted_at < record.phase_since) return std::nullopt;
  record.confirmed_at = std::max(record.confirmed_at, granted_at);
  return this->WeighReply(record, reply, now - granted_at, now);
}

MaybePhaseChange ServerPhaseRules::WeighReply(state::ServerRecord& record,
                                              const state::SubReply& reply,
                                              state::Duration latency,
                                              state::TimePoint now) const {
  if (record.phase == state::ServerPhase::kWarm) {
    return this->WeighWarmReply(record, reply, latency, now);
  }
  if (record.needs_confirmation && !IsRefusalOrFailure(reply.status)) {
    return Enter(record, state::ServerPhase::kWarm, PhaseCause::kConfirmed,
                 now);
  }
  return this->WeighColdReply(record, reply, latency, now);
}

MaybePhaseChange ServerPhaseRules::WeighColdReply(state::ServerRecord& record,
                                                  const state::SubReply& reply,
                                                  state::Duration latency,
                                                  state::TimePoint now) const {
  const bool is_strained =
      IsRefusalOrFailure(reply.status) || this->IsSlow(record, latency);
  if (is_strained && record.ramp_step > 0) {
    return this->PresumeCold(record, PhaseCause::kStrained, now);
  }
  if (IsRefusalOrFailure(reply.status)) record.good_replies = 0;
  if (reply.status != state::ReplyStatus::kOk) return std::nullopt;
  if (now - record.sighting.first_seen >= record.limits.warm_up) {
    record.usual_latency = state::Duration(0);
    return Enter(record, state::ServerPhase::kWarm, PhaseCause::kWarmUpPassed,
                 now);
  }
  if (is_strained || !reply.report.warm) {
    record.good_replies = 0;
    return std::nullopt;
  }
  AddUsualLatency(record, latency);
  ++record.good_replies;
  return this->ClimbRamp(record, now);
}

MaybePhaseChange ServerPhaseRules::ClimbRamp(state::ServerRecord& record,
                                             state::TimePoint now) const {
  const bool is_step_done =
      record.phase == state::ServerPhase::kUnknown &&
      record.good_replies >= this->bounds.good_replies_per_step &&
      now - record.ramp_step_since >= this->bounds.least_step;
  if (!is_step_done) return std::nullopt;
  if (record.limits.cold_slots << record.ramp_step >= record.limits.slots) {
    return Enter(record, state::ServerPhase::kWarm, PhaseCause::kRepliesInTime,
                 now);
  }
  ++record.ramp_step;
  record.ramp_step_since = now;
  record.good_replies = 0;
  return std::nullopt;
}

bool ServerPhaseRules::IsSlow(const state::ServerRecord& record,
                              state::Duration latency) const {
  return record.usual_latency.count() > 0 &&
         latency > record.usual_latency * this->bounds.slow_factor &&
         latency > record.usual_latency + this->bounds.slow_margin;
}

MaybePhaseChange ServerPhaseRules::WeighWarmReply(state::ServerRecord& record,
                                                  const state::SubReply& reply,
                                                  state::Duration latency,
                                                  state::TimePoint now) const {
  if (reply.status != state::ReplyStatus::kOk) return std::nullopt;
  if (!this->IsSlow(record, latency)) {
    record.slow_replies = 0;
    AddUsualLatency(record, latency);
    return std::nullopt;
  }
  const bool is_loaded =
      record.in_flight + record.others_in_progress > record.limits.slots;
  if (is_loaded) return std::nullopt;
  if (++record.slow_replies < this->bounds.slow_replies_to_cold) {
    return std::nullopt;
  }
  record.sighting.first_seen = now;
  return Enter(record, state::ServerPhase::kUnknown, PhaseCause::kSlowReplies,
               now);
}

MaybePhaseChange ServerPhaseRules::OnHealth(state::ServerRecord& record,
                                            const state::ServerReport& report,
                                            state::TimePoint now) const {
  if (report.instance != record.instance &&
      (HasLeft(record, report.instance) ||
       report.instance == record.previous_sighting.instance)) {
    return std::nullopt;
  }
  MaybePhaseChange change = SeeInstance(record, report.instance, now);
  record.report = report;
  record.reported_at = now;
  if (report.leaving) {
    return EnterLeaving(record, PhaseCause::kReportedLeaving, now);
  }
  return change;
}

MaybePhaseChange ServerPhaseRules::OnServerUpdate(state::ServerRecord& record,
                                                  const ServerUpdate& update,
                                                  state::TimePoint now) const {
  const state::TimePoint since = now - update.age;
  const bool is_same =
      record.instance.IsEmpty() || record.instance == update.instance;
  if (update.phase == state::ServerPhase::kLeaving) {
    RememberLeft(record, update.instance);
    if (!is_same) return std::nullopt;
    record.instance = update.instance;
    return EnterLeaving(record, PhaseCause::kPeerUpdate, now);
  }
  if (HasLeft(record, update.instance)) return std::nullopt;
  if (!record.instance.IsEmpty() && since <= record.phase_since) {
    return std::nullopt;
  }
  const bool is_suspicion = update.phase == state::ServerPhase::kUnknown;
  if (is_suspicion) {
    if (!is_same || record.phase != state::ServerPhase::kWarm) {
      return std::nullopt;
    }
    // Work that began after the suspicion was answered by the same instance.
    if (record.confirmed_at > since) {
      return Enter(record, state::ServerPhase::kWarm, PhaseCause::kConfirmed,
                   record.confirmed_at);
    }
    MaybePhaseChange change = Enter(record, state::ServerPhase::kUnknown,
                                    PhaseCause::kPeerUpdate, since);
    record.needs_confirmation = true;
    return change;
  }
  if (is_same && record.phase == update.phase) return std::nullopt;
  if (record.instance != update.instance) {
    SwitchTo(record, update.instance, since);
  }
  if (update.phase == state::ServerPhase::kCold) {
    record.sighting.first_seen = since;
  }
  return Enter(record, update.phase, PhaseCause::kPeerUpdate, since);
}

MaybePhaseChange ServerPhaseRules::OnConnectionLost(
    state::ServerRecord& record, state::TimePoint now) const {
  if (record.phase != state::ServerPhase::kWarm) {
    record.good_replies = 0;
    return std::nullopt;
  }
  MaybePhaseChange change = Enter(record, state::ServerPhase::kUnknown,
                                  PhaseCause::kConnectionLost, now);
  record.needs_confirmation = true;
  return change;
}

MaybePhaseChange ServerPhaseRules::PresumeCold(state::ServerRecord& record,
                                               PhaseCause cause,
                                               state::TimePoint now) const {
  if (record.phase == state::ServerPhase::kLeaving) return std::nullopt;
  record.sighting.first_seen = now;
  return Enter(record, state::ServerPhase::kCold, cause, now);
}

}  // namespace banyanknot::coordination
