#ifndef BANYANKNOT_DAEMONS_HOST_SERVICE_H_
#define BANYANKNOT_DAEMONS_HOST_SERVICE_H_

#include <memory>

#include "banyanknot/Coordination"
#include "banyanknot/transport/http_server.h"

namespace banyanknot::daemons {

/// \brief Answers the HTTP requests of callers and operators.
class HostService : public transport::HttpHandler {
 public:
  HostService(coordination::QueryExecutor& executor,
              const coordination::CatalogueFollower& follower);
  void Handle(std::shared_ptr<transport::HttpExchange> exchange) override;

 private:
  void HandleQuery(const std::shared_ptr<transport::HttpExchange>& exchange);

  coordination::QueryExecutor& executor;
  const coordination::CatalogueFollower& follower;
};

}  // namespace banyanknot::daemons

#endif  // BANYANKNOT_DAEMONS_HOST_SERVICE_H_
