#ifndef BANYANKNOT_DAEMONS_HOST_SERVICE_H_
#define BANYANKNOT_DAEMONS_HOST_SERVICE_H_

#include <memory>

#include "action_service.h"
#include "banyanknot/Coordination"
#include "banyanknot/transport/http_server.h"
#include "operator_service.h"

namespace banyanknot::daemons {

/// \brief Routes HTTP requests of callers and operators by method and path.
class HostService : public transport::HttpHandler {
 public:
  HostService(const coordination::Clock& clock,
              coordination::QueryExecutor& executor,
              coordination::QueryMetrics& metrics,
              const OperatorService& operators, ActionService& actions);
  void Handle(std::shared_ptr<transport::HttpExchange> exchange) override;

 private:
  void HandlePost(const std::shared_ptr<transport::HttpExchange>& exchange);
  void HandleQuery(const std::shared_ptr<transport::HttpExchange>& exchange);

  const coordination::Clock& clock;
  coordination::QueryExecutor& executor;
  coordination::QueryMetrics& metrics;
  const OperatorService& operators;
  ActionService& actions;
};

}  // namespace banyanknot::daemons

#endif  // BANYANKNOT_DAEMONS_HOST_SERVICE_H_
