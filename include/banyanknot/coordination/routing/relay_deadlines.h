#ifndef BANYANKNOT_COORDINATION_ROUTING_RELAY_DEADLINES_H_
#define BANYANKNOT_COORDINATION_ROUTING_RELAY_DEADLINES_H_

#include "banyanknot/state/routing/caller_connection.h"
#include "banyanknot/state/routing/relay_request.h"
#include "banyanknot/state/routing/route.h"

namespace banyanknot::coordination {

/// \brief The deadlines of one request.
struct RelayDeadlines {
  /// Connection setup, request and answer between a caller and this host, where
  /// they are not known.
  static constexpr state::Duration kDefaultOutsideTime = state::Milliseconds(8);

  state::TimePoint soft;  ///< partial answers are sent then
  state::TimePoint hard;  ///< later answers are useless

  /// \brief Derives the deadlines from the request's own and from the latency
  /// objective and timeout of its route.
  /// \param answer_delay this host's own time to answer after the soft one
  static RelayDeadlines Of(const state::RelayRequest& request,
                           const state::Route& route,
                           state::Duration answer_delay);

  /// \brief Returns the part of a request's time that passes between the
  /// caller and this host: the request and the answer, and the connection's
  /// setup before its first request.
  static state::Duration OutsideTime(const state::CallerConnection& connection);
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_RELAY_DEADLINES_H_
