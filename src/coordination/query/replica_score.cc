#include "coordination/query/replica_score.h"

#include <algorithm>
#include <cmath>

namespace banyanknot::coordination::internal {
namespace {

constexpr double kReportHalfLifeMs = 250;
constexpr double kLatencyLifetimeMs = 3'000;
constexpr double kFailureBackoffMs = 250;
constexpr std::uint32_t kMaxPenaltyDoublings = 6;

double AgeMs(state::TimePoint then, state::TimePoint now) {
  return std::max(0.0, state::ToFractionalMilliseconds(now - then));
}

int TierOf(state::ServerPhase phase) {
  switch (phase) {
    case state::ServerPhase::kWarm:
      return 0;
    case state::ServerPhase::kUnknown:
    case state::ServerPhase::kCold:
      return 1;
    case state::ServerPhase::kLeaving:
      return 2;
  }
  return 2;
}

double PenaltyOf(const state::ServerRecord& record, state::TimePoint now) {
  if (record.consecutive_failures == 0) return 1;
  const double factor =
      std::exp2(std::min(record.consecutive_failures, kMaxPenaltyDoublings));
  const bool is_due_for_probe =
      AgeMs(record.last_failure_at, now) > kFailureBackoffMs * factor;
  return is_due_for_probe ? 1 : factor;
}

double LoadOf(const state::ServerRecord& record, double report_age_ms) {
  const double local_load = record.in_flight;
  const double reported =
      static_cast<double>(record.report.running) + record.report.queued;
  const double remote_load = std::max(0.0, reported - local_load);
  return local_load +
         remote_load * std::exp2(-report_age_ms / kReportHalfLifeMs);
}

}  // namespace

ReplicaScore ScoreOf(const state::ServerEntry& server,
                     const state::ServerRecord& record, state::TimePoint now) {
  const double report_age_ms = AgeMs(record.reported_at, now);
  ReplicaScore score;
  score.tier = TierOf(record.phase);
  if (report_age_ms < kLatencyLifetimeMs) {
    score.latency_ms = state::ToFractionalMilliseconds(record.average_latency);
  }
  score.utilization =
      (1 + LoadOf(record, report_age_ms)) / std::max(1u, server.slots);
  score.penalty = PenaltyOf(record, now);
  return score;
}

ReplicaScore ScoreOfUnknown(const state::ServerEntry& server) {
  ReplicaScore score;
  score.tier = TierOf(state::ServerPhase::kUnknown);
  score.utilization = 1.0 / std::max(1u, server.slots);
  return score;
}

double CostOf(const ReplicaScore& score, double default_latency_ms) {
  const double latency =
      score.latency_ms > 0 ? score.latency_ms : default_latency_ms;
  return latency * (1 + score.utilization) * score.penalty;
}

}  // namespace banyanknot::coordination::internal
