#include "banyanknot/coordination/routing/two_random_choices.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <numeric>

#include "banyanknot/state/util/assert.h"
#include "estimated_time.h"

namespace banyanknot::coordination {
namespace {

/// Age at which a report counts half.
constexpr double kReportHalfLifeMs = 60;
/// Limits the weight of a server that seems to need no time.
constexpr double kMinTimeMs = 0.01;
/// Resolution of a random fraction.
constexpr std::uint64_t kFractionSteps = std::uint64_t{1} << 32;

double WeightOf(const ObservedRequests& others) {
  const double age_ms =
      std::max(0.0, state::ToFractionalMilliseconds(others.age));
  return std::exp2(-age_ms / kReportHalfLifeMs);
}

/// Returns the requests of other hosts per slot over all candidates.
double MeanOthersPerSlot(const std::vector<ServerObservation>& candidates) {
  double others = 0;
  double slots = 0;
  for (const ServerObservation& server : candidates) {
    if (!server.others) continue;
    const double weight = WeightOf(*server.others);
    others += weight * server.others->count;
    slots += weight * server.slots;
  }
  return slots > 0 ? others / slots : 0;
}

/// What is expected of one candidate.
struct Estimate {
  double reply_ms = 0;   ///< without other requests
  double time_ms = 0;    ///< with the expected requests
  double freshness = 0;  ///< 1 for a report of this moment, 0 without one
};

std::vector<Estimate> EstimateAll(
    const std::vector<ServerObservation>& candidates, double mean_others) {
  std::vector<Estimate> estimates;
  estimates.reserve(candidates.size());
  for (const ServerObservation& server : candidates) {
    Estimate estimate;
    estimate.freshness = server.others ? WeightOf(*server.others) : 0;
    const double reported = server.others ? server.others->count : 0;
    const double others = estimate.freshness * reported +
                          (1 - estimate.freshness) * mean_others * server.slots;
    estimate.reply_ms = std::max(
        kMinTimeMs, state::ToFractionalMilliseconds(server.reply_time));
    estimate.time_ms = std::max(kMinTimeMs, state::ToFractionalMilliseconds(
                                                EstimatedTime(server, others)));
    estimates.push_back(estimate);
  }
  return estimates;
}

/// Returns true if `left` is the better choice. A faster server counts as
/// better only as far as the reports are fresh or there is room: else all hosts
/// would send it more than its share.
bool IsBetter(const Estimate& left, const Estimate& right, double room) {
  const double trust =
      std::max(room, std::min(left.freshness, right.freshness));
  return left.time_ms / std::pow(left.reply_ms, 1 - trust) <
         right.time_ms / std::pow(right.reply_ms, 1 - trust);
}

}  // namespace

std::size_t TwoRandomChoices::Choose(
    const std::vector<ServerObservation>& candidates) const {
  BANYANKNOT_ASSERT(!candidates.empty(), "there must be a candidate");
  if (candidates.size() == 1) return 0;
  const double mean_others = MeanOthersPerSlot(candidates);
  const std::vector<Estimate> estimates = EstimateAll(candidates, mean_others);
  std::vector<double> weights;
  weights.reserve(estimates.size());
  for (const Estimate& estimate : estimates) {
    weights.push_back(1 / estimate.time_ms);
  }
  const std::size_t first = this->Draw(weights);
  weights[first] = 0;
  const std::size_t second = this->Draw(weights);
  const double room = std::max(0.0, 1 - mean_others);
  return IsBetter(estimates[second], estimates[first], room) ? second : first;
}

// Draws an index in proportion to its weight.
std::size_t TwoRandomChoices::Draw(const std::vector<double>& weights) const {
  const double total = std::accumulate(weights.begin(), weights.end(), 0.0);
  double left = total *
                static_cast<double>(this->random.Below(kFractionSteps)) /
                static_cast<double>(kFractionSteps);
  std::size_t last = 0;
  for (std::size_t index = 0; index < weights.size(); ++index) {
    if (weights[index] <= 0) continue;
    last = index;
    if (left < weights[index]) break;
    left -= weights[index];
  }
  return last;
}

}  // namespace banyanknot::coordination
