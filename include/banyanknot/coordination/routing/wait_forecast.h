#ifndef BANYANKNOT_COORDINATION_ROUTING_WAIT_FORECAST_H_
#define BANYANKNOT_COORDINATION_ROUTING_WAIT_FORECAST_H_

#include "banyanknot/coordination/routing/waiter.h"
#include "banyanknot/state/identifier.h"

namespace banyanknot::coordination {

/// \brief How long a request would wait for room at a service.
struct ExpectedWait {
  state::Duration wait{0};      ///< until its turn
  state::Duration interval{0};  ///< from one turn to the next
};

/// \brief Foretells waits for room.
class WaitForecast {
 public:
  virtual ~WaitForecast() = default;

  /// \brief The wait of `waiter` if it joined the line now; zero where nothing
  /// is known.
  virtual ExpectedWait Forecast(const state::ServiceId& service,
                                const Waiter& waiter) const = 0;
};

/// \brief Foretells nothing: whoever finds no room waits until its time is up.
/// The baseline of measurements.
class NoWaitForecast : public WaitForecast {
 public:
  ExpectedWait Forecast(const state::ServiceId& /*service*/,
                        const Waiter& /*waiter*/) const override {
    return {};
  }
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_WAIT_FORECAST_H_
