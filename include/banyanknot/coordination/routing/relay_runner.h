#ifndef BANYANKNOT_COORDINATION_ROUTING_RELAY_RUNNER_H_
#define BANYANKNOT_COORDINATION_ROUTING_RELAY_RUNNER_H_

#include <cstdint>
#include <functional>

#include "banyanknot/coordination/routing/relay_answer.h"
#include "banyanknot/coordination/stop_schedule.h"
#include "banyanknot/state/routing/relay_request.h"

namespace banyanknot::coordination {

using RelayAnswerHandler = std::function<void(const RelayAnswer&)>;

/// \brief Runs callers' requests. Thread-safe.
class RelayRunner {
 public:
  static constexpr std::uint64_t kNoRun = 0;

  virtual ~RelayRunner() = default;

  /// \brief Starts a request.
  /// \param handler called exactly once, possibly before Run() returns; not
  ///     called for a cancelled request
  /// \returns the run number for Cancel(); kNoRun if rejected at once
  virtual std::uint64_t Run(state::RelayRequest request,
                            RelayAnswerHandler handler) = 0;

  /// \brief Cancels a request whose caller has disconnected.
  virtual void Cancel(std::uint64_t number) = 0;

  /// \brief Makes every request end in time for a shutdown that has begun: new
  /// ones are refused if they might not, and what is left then is answered as
  /// far as it is known.
  virtual void FinishBy(const StopSchedule& schedule) = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_RELAY_RUNNER_H_
