#ifndef BANYANKNOT_COORDINATION_ROUTING_RELAY_DEADLINES_H_
#define BANYANKNOT_COORDINATION_ROUTING_RELAY_DEADLINES_H_

#include "banyanknot/state/routing/relay_request.h"
#include "banyanknot/state/routing/route.h"

namespace banyanknot::coordination {

/// \brief The deadlines of one request.
struct RelayDeadlines {
  /// Connection setup, request and answer between a caller and this host, where
  /// they are not known.
  static constexpr state::Duration kDefaultOutsideTime =
      state::Milliseconds(14);

  state::TimePoint soft;  ///< partial answers are sent then
  state::TimePoint hard;  ///< later answers are useless

  /// \brief Derives the deadlines from the request's own and from the latency
  /// objective and timeout of its route.
  static RelayDeadlines Of(const state::RelayRequest& request,
                           const state::Route& route);
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_RELAY_DEADLINES_H_
