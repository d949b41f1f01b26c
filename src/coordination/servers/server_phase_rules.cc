#include "banyanknot/coordination/servers/server_phase_rules.h"

#include <algorithm>
#include <utility>

namespace banyanknot::coordination {
namespace {

constexpr std::size_t kMaxLeavingInstances = 8;
constexpr int kBaselineLatencyWeight = 32;

bool WasSeenLeaving(const state::ServerRecord& record,
                    const state::InstanceId& instance) {
  return std::find(record.left_instances.begin(), record.left_instances.end(),
                   instance) != record.left_instances.end();
}

void RecordLeaving(state::ServerRecord& record,
                   const state::InstanceId& instance) {
  if (WasSeenLeaving(record, instance)) return;
  if (record.left_instances.size() >= kMaxLeavingInstances) {
    record.left_instances.erase(record.left_instances.begin());
  }
  record.left_instances.push_back(instance);
}

void RecordBaselineLatency(state::ServerRecord& record,
                           state::Duration latency) {
  record.baseline_latency =
      record.baseline_latency.count() == 0
          ? latency
          : record.baseline_latency +
                (latency - record.baseline_latency) / kBaselineLatencyWeight;
}

MaybePhaseChange EnterPhase(state::ServerRecord& record,
                            state::ServerPhase phase, PhaseCause cause,
                            state::TimePoint since) {
  const state::ServerPhase from = std::exchange(record.phase, phase);
  record.phase_since = since;
  record.slow_start_step_since = since;
  record.needs_confirmation = false;
  record.good_replies = 0;
  record.slow_replies = 0;
  record.slow_start_step = 0;
  return ServerPhaseChange{record.instance, from, phase, cause};
}

MaybePhaseChange EnterLeaving(state::ServerRecord& record, PhaseCause cause,
                              state::TimePoint now) {
  RecordLeaving(record, record.instance);
  if (record.phase == state::ServerPhase::kLeaving) return std::nullopt;
  return EnterPhase(record, state::ServerPhase::kLeaving, cause, now);
}

void SwitchInstance(state::ServerRecord& record,
                    const state::InstanceId& instance,
                    state::TimePoint first_seen) {
  if (record.previous_observation.instance == instance) {
    first_seen = std::min(first_seen, record.previous_observation.first_seen);
  }
  if (!record.instance.IsEmpty()) {
    record.previous_observation = {record.instance,
                                   record.observation.first_seen};
  }
  record.instance = instance;
  record.observation = {instance, first_seen};
}

/// Records the instance that replied; a replaced instance is cold.
MaybePhaseChange RecordInstance(state::ServerRecord& record,
                                const state::InstanceId& instance,
                                state::TimePoint now) {
  if (record.instance == instance) return std::nullopt;
  const bool is_first = record.instance.IsEmpty();
  SwitchInstance(record, instance, now);
  if (is_first && record.phase == state::ServerPhase::kUnknown) {
    record.phase_since = now;
    record.slow_start_step_since = now;
    return std::nullopt;
  }
  return EnterPhase(record, state::ServerPhase::kCold, PhaseCause::kNewInstance,
                    now);
}

/// Returns whether a reply of the previous instance was sent before the current
/// one was first seen.
bool IsOutdated(const state::ServerRecord& record,
                const state::InstanceId& instance, state::TimePoint sent_at) {
  return instance == record.previous_observation.instance &&
         instance != record.instance &&
         sent_at <= record.observation.first_seen;
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
  if (WasSeenLeaving(record, instance) && instance != record.instance) {
    return std::nullopt;
  }
  const bool reports_cold_again =
      instance == record.instance && record.report.warm && !reply.report.warm;
  MaybePhaseChange change = RecordInstance(record, instance, now);
  record.report = reply.report;
  record.reported_at = now;
  if (is_leaving) {
    return EnterLeaving(record, PhaseCause::kReportedLeaving, now);
  }
  if (change || record.phase == state::ServerPhase::kLeaving) return change;
  if (reports_cold_again && record.phase == state::ServerPhase::kWarm) {
    return this->PresumeCold(record, PhaseCause::kReportedCold, now);
  }
  if (granted_at < record.phase_since) return std::nullopt;
  record.confirmed_at = std::max(record.confirmed_at, granted_at);
  return this->EvaluateReply(record, reply, now - granted_at, now);
}

MaybePhaseChange ServerPhaseRules::EvaluateReply(state::ServerRecord& record,
                                                 const state::SubReply& reply,
                                                 state::Duration latency,
                                                 state::TimePoint now) const {
  if (record.phase == state::ServerPhase::kWarm) {
    return this->EvaluateWarmReply(record, reply, latency, now);
  }
  if (record.needs_confirmation && !IsRefusalOrFailure(reply.status)) {
    return EnterPhase(record, state::ServerPhase::kWarm, PhaseCause::kConfirmed,
                      now);
  }
  return this->EvaluateColdReply(record, reply, latency, now);
}

MaybePhaseChange ServerPhaseRules::EvaluateColdReply(
    state::ServerRecord& record, const state::SubReply& reply,
    state::Duration latency, state::TimePoint now) const {
  const bool is_overloaded =
      IsRefusalOrFailure(reply.status) || this->IsSlow(record, latency);
  if (is_overloaded && record.slow_start_step > 0) {
    return this->PresumeCold(record, PhaseCause::kOverloaded, now);
  }
  if (IsRefusalOrFailure(reply.status)) record.good_replies = 0;
  if (reply.status != state::ReplyStatus::kOk) return std::nullopt;
  if (now - record.observation.first_seen >= record.limits.warm_up) {
    record.baseline_latency = state::Duration(0);
    return EnterPhase(record, state::ServerPhase::kWarm,
                      PhaseCause::kWarmUpPassed, now);
  }
  if (is_overloaded || !reply.report.warm) {
    record.good_replies = 0;
    return std::nullopt;
  }
  RecordBaselineLatency(record, latency);
  ++record.good_replies;
  return this->AdvanceSlowStart(record, now);
}

MaybePhaseChange ServerPhaseRules::AdvanceSlowStart(
    state::ServerRecord& record, state::TimePoint now) const {
  const bool is_step_done =
      record.phase == state::ServerPhase::kUnknown &&
      record.good_replies >= this->thresholds.replies_per_step &&
      now - record.slow_start_step_since >= this->thresholds.min_step_duration;
  if (!is_step_done) return std::nullopt;
  if (record.limits.cold_slots << record.slow_start_step >=
      record.limits.slots) {
    return EnterPhase(record, state::ServerPhase::kWarm,
                      PhaseCause::kRepliesInTime, now);
  }
  ++record.slow_start_step;
  record.slow_start_step_since = now;
  record.good_replies = 0;
  return std::nullopt;
}

bool ServerPhaseRules::IsSlow(const state::ServerRecord& record,
                              state::Duration latency) const {
  return record.baseline_latency.count() > 0 &&
         latency > record.baseline_latency * this->thresholds.slow_factor &&
         latency > record.baseline_latency + this->thresholds.slow_margin;
}

MaybePhaseChange ServerPhaseRules::EvaluateWarmReply(
    state::ServerRecord& record, const state::SubReply& reply,
    state::Duration latency, state::TimePoint now) const {
  if (reply.status != state::ReplyStatus::kOk) return std::nullopt;
  if (!this->IsSlow(record, latency)) {
    record.slow_replies = 0;
    RecordBaselineLatency(record, latency);
    return std::nullopt;
  }
  const bool is_loaded =
      record.in_flight + record.others_in_flight > record.limits.slots;
  if (is_loaded) return std::nullopt;
  if (++record.slow_replies < this->thresholds.slow_replies_to_suspect) {
    return std::nullopt;
  }
  record.observation.first_seen = now;
  return EnterPhase(record, state::ServerPhase::kUnknown,
                    PhaseCause::kSlowReplies, now);
}

MaybePhaseChange ServerPhaseRules::OnHealth(state::ServerRecord& record,
                                            const state::ServerReport& report,
                                            state::TimePoint now) const {
  if (report.instance != record.instance &&
      (WasSeenLeaving(record, report.instance) ||
       report.instance == record.previous_observation.instance)) {
    return std::nullopt;
  }
  MaybePhaseChange change = RecordInstance(record, report.instance, now);
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
    RecordLeaving(record, update.instance);
    if (!is_same) return std::nullopt;
    record.instance = update.instance;
    return EnterLeaving(record, PhaseCause::kPeerUpdate, now);
  }
  if (WasSeenLeaving(record, update.instance)) return std::nullopt;
  if (!record.instance.IsEmpty() && since <= record.phase_since) {
    return std::nullopt;
  }
  const bool is_suspicion = update.phase == state::ServerPhase::kUnknown;
  if (is_suspicion) {
    if (!is_same || record.phase != state::ServerPhase::kWarm) {
      return std::nullopt;
    }
    // The same instance already replied to a request from after the suspicion.
    if (record.confirmed_at > since) {
      return EnterPhase(record, state::ServerPhase::kWarm,
                        PhaseCause::kConfirmed, record.confirmed_at);
    }
    MaybePhaseChange change = EnterPhase(record, state::ServerPhase::kUnknown,
                                         PhaseCause::kPeerUpdate, since);
    record.needs_confirmation = true;
    return change;
  }
  if (is_same && record.phase == update.phase) return std::nullopt;
  if (record.instance != update.instance) {
    SwitchInstance(record, update.instance, since);
  }
  if (update.phase == state::ServerPhase::kCold) {
    record.observation.first_seen = since;
  }
  return EnterPhase(record, update.phase, PhaseCause::kPeerUpdate, since);
}

MaybePhaseChange ServerPhaseRules::OnConnectionLost(
    state::ServerRecord& record, state::TimePoint now) const {
  if (record.phase != state::ServerPhase::kWarm) {
    record.good_replies = 0;
    return std::nullopt;
  }
  MaybePhaseChange change = EnterPhase(record, state::ServerPhase::kUnknown,
                                       PhaseCause::kConnectionLost, now);
  record.needs_confirmation = true;
  return change;
}

MaybePhaseChange ServerPhaseRules::PresumeCold(state::ServerRecord& record,
                                               PhaseCause cause,
                                               state::TimePoint now) const {
  if (record.phase == state::ServerPhase::kLeaving) return std::nullopt;
  record.observation.first_seen = now;
  return EnterPhase(record, state::ServerPhase::kCold, cause, now);
}

}  // namespace banyanknot::coordination
