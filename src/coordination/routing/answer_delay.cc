#include "banyanknot/coordination/routing/answer_delay.h"

#include <algorithm>

namespace banyanknot::coordination {
namespace {

/// Share of gathers to be ended in time.
constexpr double kQuantile = 0.9;
constexpr double kStepMs = 0.5;
/// Merging and writing the answer.
constexpr double kWriteMs = 2;
constexpr double kMinLatenessMs = 0.5;
/// Beyond it an earlier end would cost more parts than it saves answers.
constexpr double kMaxLatenessMs = 15;

}  // namespace

state::Duration LearnedAnswerDelay::AnswerDelay() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return state::FromFractionalMilliseconds(this->lateness_ms + kWriteMs);
}

void LearnedAnswerDelay::RecordLateness(state::Duration lateness) {
  const double newest_ms = state::ToFractionalMilliseconds(lateness);
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->lateness_ms += newest_ms > this->lateness_ms
                           ? kStepMs * kQuantile
                           : -kStepMs * (1 - kQuantile);
  this->lateness_ms =
      std::clamp(this->lateness_ms, kMinLatenessMs, kMaxLatenessMs);
}

}  // namespace banyanknot::coordination
