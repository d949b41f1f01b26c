#include "banyanknot/coordination/query/concurrency_limit.h"

#include <algorithm>

namespace banyanknot::coordination {
namespace {

constexpr state::Duration kWindow = state::Milliseconds(50);
constexpr std::uint32_t kMinEndings = 4;
constexpr double kMinLimit = 64;
constexpr double kMaxLimit = 1e6;
constexpr double kDecrease = 0.8;
constexpr double kIncrease = 0.05;
constexpr double kUsedShare = 0.7;
constexpr double kMaxCongestion = 0.1;  // mean weight over a window

// Half of all queries have to be slow before that alone counts as overload.
constexpr double WeightOf(Congestion congestion) {
  switch (congestion) {
    case Congestion::kNone:
      return 0;
    case Congestion::kSlow:
      return 0.2;
    case Congestion::kLost:
      return 1;
  }
  return 0;
}

}  // namespace

void ConcurrencyLimit::Observe(state::TimePoint now, Congestion congestion,
                               double in_flight, double protected_load) {
  ++this->endings;
  this->congestion_sum += WeightOf(congestion);
  this->peak_in_flight = std::max(this->peak_in_flight, in_flight);
  const bool is_over =
      now - this->window_start >= kWindow && this->endings >= kMinEndings;
  if (is_over) this->CloseWindow(now, protected_load);
}

void ConcurrencyLimit::CloseWindow(state::TimePoint now,
                                   double protected_load) {
  if (this->congestion_sum / this->endings > kMaxCongestion) {
    // Starts from what was used, so that a limit far above it takes hold.
    const double used = std::min(this->value, this->peak_in_flight);
    this->value = std::max({used * kDecrease, protected_load, kMinLimit});
  } else if (this->peak_in_flight > this->value * kUsedShare) {
    this->value += std::max(1.0, this->value * kIncrease);
  }
  this->value = std::min(this->value, kMaxLimit);
  this->window_start = now;
  this->peak_in_flight = 0;
  this->endings = 0;
  this->congestion_sum = 0;
}

}  // namespace banyanknot::coordination
