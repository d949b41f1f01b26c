#ifndef BANYANKNOT_DAEMONS_ACTION_SERVICE_H_
#define BANYANKNOT_DAEMONS_ACTION_SERVICE_H_

#include <memory>

#include "banyanknot/Coordination"
#include "banyanknot/transport/http_server.h"

namespace banyanknot::daemons {

/// \brief Answers callers' requests that may not be repeated.
///
/// An action goes on when its caller closes the connection; the caller asks
/// again with the same ticket for the outcome.
class ActionService {
 public:
  ActionService(const coordination::TicketTable& tickets,
                coordination::ActionExecutor& executor,
                coordination::ActionForwarder& forwarder,
                coordination::ActionMetrics& metrics);

  /// \brief Answers a POST to one of its paths.
  /// \returns false if the path is not one of them
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
