#ifndef BANYANKNOT_DAEMONS_RELAY_STATUS_SERVICE_H_
#define BANYANKNOT_DAEMONS_RELAY_STATUS_SERVICE_H_

#include <memory>
#include <string>
#include <vector>

#include "banyanknot/coordination/metric_source.h"
#include "banyanknot/coordination/readiness.h"
#include "banyanknot/transport/http_server.h"

namespace banyanknot::daemons {

/// \brief Serves the readiness probe of the load balancer and the metrics.
class RelayStatusService : public transport::HttpHandler {
 public:
  RelayStatusService(std::string ready_path,
                     const coordination::Readiness& readiness,
                     std::vector<const coordination::MetricSource*> metrics);
  void Handle(std::shared_ptr<transport::HttpExchange> exchange) override;

 private:
  const std::string ready_path;
  const coordination::Readiness& readiness;
  const std::vector<const coordination::MetricSource*> metrics;
};

}  // namespace banyanknot::daemons

#endif  // BANYANKNOT_DAEMONS_RELAY_STATUS_SERVICE_H_
