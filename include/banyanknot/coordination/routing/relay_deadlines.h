#ifndef BANYANKNOT_COORDINATION_ROUTING_RELAY_DEADLINES_H_
#define BANYANKNOT_COORDINATION_ROUTING_RELAY_DEADLINES_H_

#include "banyanknot/state/routing/relay_request.h"
#include "banyanknot/state/routing/route.h"

namespace banyanknot::coordination {

/// \brief The two moments that bound the work for one request.
struct RelayDeadlines {
  state::TimePoint soft;  ///< an answer goes with the parts at hand
  state::TimePoint hard;  ///< there is no more use in an answer

  /// \brief The moments that follow from a request's deadline and the
  /// objective and timeout of its route.
  static RelayDeadlines Of(const state::RelayRequest& request,
                           const state::Route& route);
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_RELAY_DEADLINES_H_
