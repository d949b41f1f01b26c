#include "relay_status_service.h"

#include <utility>
#include <vector>

#include "banyanknot/protocol/metrics_codec.h"

namespace banyanknot::daemons {
namespace {

constexpr unsigned kHttpNotFound = 404;
constexpr unsigned kHttpUnavailable = 503;

}  // namespace

RelayStatusService::RelayStatusService(
    std::string ready_path, const coordination::Readiness& readiness,
    std::vector<const coordination::MetricSource*> metrics)
    : ready_path(std::move(ready_path)),
      readiness(readiness),
      metrics(std::move(metrics)) {}

void RelayStatusService::Handle(
    std::shared_ptr<transport::HttpExchange> exchange) {
  const std::string& target = exchange->Request().target;
  protocol::HttpResponse response;
  if (target == this->ready_path) {
    response.content_type.clear();
    if (!this->readiness.IsReady()) response.status = kHttpUnavailable;
  } else if (target == protocol::kMetricsPath) {
    std::vector<coordination::MetricSample> samples;
    for (const coordination::MetricSource* source : this->metrics) {
      source->CollectMetrics(samples);
    }
    response = protocol::EncodeMetrics(samples);
  } else {
    response.status = kHttpNotFound;
  }
  exchange->Respond(std::move(response));
}

}  // namespace banyanknot::daemons
