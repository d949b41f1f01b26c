#ifndef BANYANKNOT_DAEMONS_OPERATOR_SERVICE_H_
#define BANYANKNOT_DAEMONS_OPERATOR_SERVICE_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "banyanknot/Coordination"
#include "banyanknot/State"
#include "banyanknot/protocol/http_message.h"
#include "banyanknot/protocol/operator_codec.h"

namespace banyanknot::daemons {

/// \brief Serves the read-only endpoints for operators: liveness, readiness,
/// status, metrics, audit trail and routing explanations.
class OperatorService {
 public:
  OperatorService(state::HostIdentity identity,
                  const coordination::Clock& clock,
                  const state::CatalogueTable& catalogue,
                  const state::HostTable& hosts,
                  const state::ServerTable& servers,
                  const coordination::QueryExecutor& executor,
                  const coordination::Readiness& readiness,
                  const coordination::AuditTrail& audit,
                  std::vector<const coordination::MetricSource*> metrics);

  /// \brief Handles a GET request.
  /// \param target path and query string
  /// \returns nothing if the path is not an operator endpoint
  std::optional<protocol::HttpResponse> HandleGet(
      const std::string& target) const;

 private:
  protocol::HttpResponse Status() const;
  protocol::HttpResponse Metrics() const;
  protocol::HttpResponse Explain(const std::string& service) const;
  void CollectGauges(std::vector<coordination::MetricSample>& samples) const;

  const state::HostIdentity identity;
  const coordination::Clock& clock;
  const state::TimePoint started_at;
  const state::CatalogueTable& catalogue;
  const state::HostTable& hosts;
  const state::ServerTable& servers;
  const coordination::QueryExecutor& executor;
  const coordination::Readiness& readiness;
  const coordination::AuditTrail& audit;
  const std::vector<const coordination::MetricSource*> metrics;
};

}  // namespace banyanknot::daemons

#endif  // BANYANKNOT_DAEMONS_OPERATOR_SERVICE_H_
