#ifndef BANYANKNOT_DAEMONS_ACTION_SERVICE_H_
#define BANYANKNOT_DAEMONS_ACTION_SERVICE_H_

#include <memory>

#include "banyanknot/Coordination"
#include "banyanknot/transport/http_server.h"

namespace banyanknot::daemons {

/// \brief Handles callers' requests for tickets and actions.
///
/// An action continues if its caller closes the connection: the caller gets the
/// outcome by sending the same ticket again.
class ActionService {
 public:
  ActionService(const coordination::TicketTable& tickets,
                coordination::ActionExecutor& executor,
                coordination::ActionForwarder& forwarder,
                coordination::ActionMetrics& metrics);

  /// \brief Handles a POST request.
  /// \returns false, without a response, if the path is not of this service
  bool Handle(const std::shared_ptr<transport::HttpExchange>& exchange);

 private:
  void HandleTicket(const std::shared_ptr<transport::HttpExchange>& exchange);
  void HandleAction(const std::shared_ptr<transport::HttpExchange>& exchange);

  const coordination::TicketTable& tickets;
  coordination::ActionExecutor& executor;
  coordination::ActionForwarder& forwarder;
  coordination::ActionMetrics& metrics;
};

}  // namespace banyanknot::daemons

#endif  // BANYANKNOT_DAEMONS_ACTION_SERVICE_H_
