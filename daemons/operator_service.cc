#include "operator_service.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <utility>

#include "banyanknot/protocol/metrics_codec.h"

namespace banyanknot::daemons {
namespace {

constexpr unsigned kHttpNotFound = 404;
constexpr unsigned kHttpUnavailable = 503;

std::string PathOf(const std::string& target) {
  return target.substr(0, target.find('?'));
}

/// Returns a parameter of the query string; empty if absent.
std::string QueryParameter(const std::string& target, const std::string& name) {
  const std::size_t query = target.find('?');
  if (query == std::string::npos) return "";
  std::size_t begin = query + 1;
  while (begin < target.size()) {
    const std::size_t end = std::min(target.find('&', begin), target.size());
    const std::string pair = target.substr(begin, end - begin);
    if (pair.compare(0, name.size() + 1, name + "=") == 0) {
      return pair.substr(name.size() + 1);
    }
    begin = end + 1;
  }
  return "";
}

coordination::MetricSample Gauge(std::string name, std::string help,
                                 std::vector<coordination::MetricLabel> labels,
                                 std::size_t value) {
  return {std::move(name), std::move(help), coordination::MetricKind::kGauge,
          std::move(labels), static_cast<double>(value)};
}

/// Adds one gauge per enumerator: the number of records with that state.
template <typename Enum, std::size_t kSize, typename Table, typename Read>
void CountByState(const Table& table,
                  const std::array<state::EnumName<Enum>, kSize>& names,
                  Read read, const std::string& metric, const std::string& help,
                  std::vector<coordination::MetricSample>& samples) {
  std::array<std::size_t, kSize> counts{};
  table.ForEach([&counts, &read](const auto& /*key*/, const auto& record) {
    ++counts[static_cast<std::size_t>(read(record))];
  });
  for (const state::EnumName<Enum>& row : names) {
    samples.push_back(Gauge(metric, help, {{"state", std::string(row.name)}},
                            counts[static_cast<std::size_t>(row.value)]));
  }
}

}  // namespace

OperatorService::OperatorService(
    state::HostIdentity identity, const coordination::Clock& clock,
    const state::CatalogueTable& catalogue, const state::HostTable& hosts,
    const state::ServerTable& servers,
    const coordination::QueryExecutor& executor,
    const coordination::Readiness& readiness,
    const coordination::AuditTrail& audit,
    std::vector<const coordination::MetricSource*> metrics)
    : identity(std::move(identity)),
      clock(clock),
      started_at(clock.Now()),
      catalogue(catalogue),
      hosts(hosts),
      servers(servers),
      executor(executor),
      readiness(readiness),
      audit(audit),
      metrics(std::move(metrics)) {}

std::optional<protocol::HttpResponse> OperatorService::HandleGet(
    const std::string& target) const {
  const std::string path = PathOf(target);
  if (path == protocol::kLivePath) {
    return protocol::HttpResponse{200, R"({"live":true})"};
  }
  if (path == protocol::kReadyPath) {
    const bool is_ready = this->readiness.IsReady();
    return protocol::HttpResponse{
        is_ready ? 200 : kHttpUnavailable,
        is_ready ? R"({"ready":true})" : R"({"ready":false})"};
  }
  if (path == protocol::kStatusPath) return this->Status();
  if (path == protocol::kMetricsPath) return this->Metrics();
  if (path == protocol::kAuditPath) {
    const std::string since = QueryParameter(target, "since");
    return protocol::EncodeAudit(
        this->audit.Since(std::strtoull(since.c_str(), nullptr, 10)));
  }
  if (path == protocol::kExplainPath) {
    return this->Explain(QueryParameter(target, "service"));
  }
  return std::nullopt;
}

protocol::HttpResponse OperatorService::Status() const {
  protocol::StatusReport report;
  report.identity = this->identity;
  report.version = BANYANKNOT_VERSION;
  report.uptime = this->clock.Now() - this->started_at;
  report.is_ready = this->readiness.IsReady();
  report.queries_in_flight = this->executor.InFlight();
  report.catalogue = this->catalogue.All();
  this->hosts.ForEach(
      [&report](const state::HostId& /*id*/, const state::HostRecord& host) {
        report.hosts.push_back(host);
      });
  this->servers.ForEach(
      [&report](const state::ServerId& id, const state::ServerRecord& record) {
        report.servers.push_back({id, record});
      });
  return protocol::EncodeStatus(report);
}

protocol::HttpResponse OperatorService::Metrics() const {
  std::vector<coordination::MetricSample> samples;
  for (const coordination::MetricSource* source : this->metrics) {
    source->CollectMetrics(samples);
  }
  this->CollectGauges(samples);
  return protocol::EncodeMetrics(samples);
}

void OperatorService::CollectGauges(
    std::vector<coordination::MetricSample>& samples) const {
  samples.push_back(Gauge("banyanknot_queries_in_flight",
                          "Queries without an answer yet.", {},
                          this->executor.InFlight()));
  samples.push_back(Gauge("banyanknot_catalogue_revision",
                          "Greatest revision in force on this host.", {},
                          this->catalogue.MaxRevision()));
  CountByState(
      this->hosts, state::kHostStateNames,
      [](const state::HostRecord& host) { return host.host_state; },
      "banyanknot_hosts", "Other hosts by state.", samples);
  CountByState(
      this->servers, state::kServerPhaseNames,
      [](const state::ServerRecord& server) { return server.phase; },
      "banyanknot_servers", "Backend servers by phase.", samples);
}

protocol::HttpResponse OperatorService::Explain(
    const std::string& service_id) const {
  const std::shared_ptr<const state::ServiceEntry> service =
      this->catalogue.FindService(state::ServiceId(service_id));
  if (service == nullptr) {
    return {kHttpNotFound, R"({"error":"no such service"})"};
  }
  std::vector<protocol::ShardExplanation> shards;
  for (const state::ShardEntry& shard : service->shards) {
    protocol::ShardExplanation explanation{shard.id, shard.range, {}};
    for (const state::ServerId& id : shard.replicas) {
      const state::ServerEntry* server = service->FindServer(id);
      if (server == nullptr) continue;
      explanation.replicas.push_back(
          {*server, this->catalogue.FindDomainState(server->domain),
           this->servers.Find(id).value_or(state::ServerRecord())});
    }
    shards.push_back(std::move(explanation));
  }
  return protocol::EncodeExplanation(*service, shards);
}

}  // namespace banyanknot::daemons
