#include "banyanknot/coordination/query/concurrency_limit.h"

#include <algorithm>

namespace banyanknot::coordination {
namespace {

constexpr state::Duration kWindow = state::Milliseconds(50);
constexpr std::uint32_t kMinCompletions = 4;
constexpr double kMinLimit = 64;
constexpr double kMaxLimit = 1e6;
constexpr double kDecreaseFactor = 0.8;
constexpr double kIncreaseShare = 0.05;
constexpr double kMinUtilization = 0.7;
constexpr double kCongestionThreshold = 0.1;  // mean weight in a window

// With these weights, slow queries alone count as congestion only if they are
// more than half of all.
constexpr double WeightOf(Congestion congestion) {
  switch (congestion) {
    case Congestion::kNone:
      return 0;
    case Congestion::kSlow:
      return 0.2;
    case Congestion::kTimedOutOrShed:
      return 1;
  }
  return 0;
}

}  // namespace

void ConcurrencyLimit::RecordCompletion(state::TimePoint now,
                                        Congestion congestion, double in_flight,
                                        double protected_load) {
  ++this->completions;
  this->congestion_sum += WeightOf(congestion);
  this->peak_in_flight = std::max(this->peak_in_flight, in_flight);
  const bool is_window_complete = now - this->window_start >= kWindow &&
                                  this->completions >= kMinCompletions;
  if (is_window_complete) this->AdjustLimit(now, protected_load);
}

void ConcurrencyLimit::AdjustLimit(state::TimePoint now,
                                   double protected_load) {
  if (this->congestion_sum / this->completions > kCongestionThreshold) {
    // Decreases from the load actually used: decreasing a limit far above it
    // would have no effect at first.
    const double used = std::min(this->value, this->peak_in_flight);
    this->value = std::max({used * kDecreaseFactor, protected_load, kMinLimit});
  } else if (this->peak_in_flight > this->value * kMinUtilization) {
    this->value += std::max(1.0, this->value * kIncreaseShare);
  }
  this->value = std::min(this->value, kMaxLimit);
  this->window_start = now;
  this->peak_in_flight = 0;
  this->completions = 0;
  this->congestion_sum = 0;
}

}  // namespace banyanknot::coordination
