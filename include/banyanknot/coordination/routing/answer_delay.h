#ifndef BANYANKNOT_COORDINATION_ROUTING_ANSWER_DELAY_H_
#define BANYANKNOT_COORDINATION_ROUTING_ANSWER_DELAY_H_

#include <mutex>

#include "banyanknot/state/util/time.h"

namespace banyanknot::coordination {

/// \brief Tells how long before a moment a gather must be ended so that its
/// answer leaves this host by then. Thread-safe.
class AnswerDelayPolicy {
 public:
  virtual ~AnswerDelayPolicy() = default;
  virtual state::Duration AnswerDelay() const = 0;
  /// \brief Records how much later than planned a gather was ended.
  virtual void RecordLateness(state::Duration lateness) = 0;
};

/// \brief A fixed delay. Baseline for measurements.
class FixedAnswerDelay : public AnswerDelayPolicy {
 public:
  explicit FixedAnswerDelay(state::Duration delay) : delay(delay) {}
  state::Duration AnswerDelay() const override { return this->delay; }
  void RecordLateness(state::Duration /*lateness*/) override {}

 private:
  const state::Duration delay;
};

/// \brief Follows a quantile of this host's own lateness, which depends on its
/// share of the processor and on what else it does.
///
/// Moves up by a step for each lateness above the estimate and down by a
/// smaller one for each below, so that both are as likely as the quantile says.
class LearnedAnswerDelay : public AnswerDelayPolicy {
 public:
  state::Duration AnswerDelay() const override;
  void RecordLateness(state::Duration lateness) override;

 private:
  mutable std::mutex mutex;
  double lateness_ms = kInitialLatenessMs;

  static constexpr double kInitialLatenessMs = 4;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_ANSWER_DELAY_H_
