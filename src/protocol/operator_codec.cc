#include "banyanknot/protocol/operator_codec.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace banyanknot::protocol {
namespace {

using nlohmann::ordered_json;

std::string Name(std::string_view name) { return std::string(name); }

ordered_json CatalogueToJson(
    const std::vector<state::CatalogueRecord>& catalogue) {
  ordered_json entries = ordered_json::array();
  for (const state::CatalogueRecord& record : catalogue) {
    entries.push_back({{"key", record.key},
                       {"revision", record.revision},
                       {"deleted", record.IsTombstone()}});
  }
  return entries;
}

ordered_json HostToJson(const state::HostRecord& host) {
  return {{"id", host.listed.id.Text()},
          {"domain", host.listed.domain.Text()},
          {"peer", ToText(host.listed.peer)},
          {"incarnation", host.incarnation},
          {"state", Name(NameOf(host.host_state))},
          {"listed", host.is_listed},
          {"leaving", host.listed.leaving}};
}

ordered_json ServerRecordToJson(const state::ServerRecord& record) {
  return {{"instance", record.instance.Text()},
          {"phase", Name(NameOf(record.phase))},
          {"in_flight", record.in_flight},
          {"reported_running", record.report.running},
          {"reported_queued", record.report.queued},
          {"oldest_snapshot", record.report.oldest_snapshot},
          {"newest_snapshot", record.report.newest_snapshot},
          {"average_latency_ms",
           state::ToFractionalMilliseconds(record.average_latency)},
          {"consecutive_failures", record.consecutive_failures}};
}

HttpResponse ToResponse(const ordered_json& message) {
  HttpResponse response;
  response.body =
      message.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
  return response;
}

}  // namespace

HttpResponse EncodeStatus(const StatusReport& report) {
  ordered_json message = {{"host", report.identity.self.id.Text()},
                          {"domain", report.identity.self.domain.Text()},
                          {"incarnation", report.identity.incarnation},
                          {"version", report.version},
                          {"uptime_ms", state::ToMilliseconds(report.uptime)},
                          {"ready", report.is_ready},
                          {"queries_in_flight", report.queries_in_flight},
                          {"catalogue", CatalogueToJson(report.catalogue)}};
  ordered_json hosts = ordered_json::array();
  for (const state::HostRecord& host : report.hosts) {
    hosts.push_back(HostToJson(host));
  }
  message["hosts"] = std::move(hosts);
  ordered_json servers = ordered_json::array();
  for (const ServerStatus& server : report.servers) {
    ordered_json item = ServerRecordToJson(server.record);
    item["id"] = server.id.Text();
    servers.push_back(std::move(item));
  }
  message["servers"] = std::move(servers);
  return ToResponse(message);
}

HttpResponse EncodeAudit(
    const std::vector<coordination::AuditRecord>& records) {
  ordered_json events = ordered_json::array();
  for (const coordination::AuditRecord& record : records) {
    const coordination::AuditEvent& event = record.event;
    events.push_back({{"sequence", record.sequence},
                      {"unix_ms", record.unix_ms},
                      {"kind", Name(NameOf(event.kind))},
                      {"subject", event.subject},
                      {"revision", event.revision},
                      {"owner", event.owner},
                      {"content_hash", event.content_hash},
                      {"source", event.source},
                      {"detail", event.detail}});
  }
  return ToResponse({{"events", std::move(events)}});
}

HttpResponse EncodeExplanation(const state::ServiceEntry& service,
                               const std::vector<ShardExplanation>& shards) {
  ordered_json list = ordered_json::array();
  for (const ShardExplanation& shard : shards) {
    ordered_json replicas = ordered_json::array();
    for (const ReplicaExplanation& replica : shard.replicas) {
      ordered_json item = ServerRecordToJson(replica.record);
      item["server"] = replica.server.id.Text();
      item["domain"] = replica.server.domain.Text();
      item["domain_state"] = Name(NameOf(replica.domain_state));
      replicas.push_back(std::move(item));
    }
    list.push_back({{"shard", shard.shard},
                    {"begin", shard.range.begin},
                    {"end", shard.range.end},
                    {"replicas", std::move(replicas)}});
  }
  return ToResponse({{"service", service.id.Text()},
                     {"class", Name(NameOf(service.service_class))},
                     {"shards", std::move(list)}});
}

}  // namespace banyanknot::protocol
