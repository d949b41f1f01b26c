#include "backend_fleet.h"

#include <utility>

#include "banyanknot/protocol/caller_codec.h"
#include "banyanknot/protocol/json_reader.h"

namespace banyanknot::standins {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxAdminBytes = 4u << 20;
const char* const kServersPath = "/admin/servers/";

json ToJson(const BackendCounters& counters, state::TimePoint now) {
  const bool any = counters.last_received.time_since_epoch().count() != 0;
  return {{"received", counters.received},
          {"started", counters.started},
          {"finished", counters.finished},
          {"shed", counters.shed},
          {"refused", counters.refused},
          {"cancelled", counters.cancelled},
          {"expired", counters.expired},
          {"max_cold", counters.cold.max_in_progress},
          {"max_cold_unannounced", counters.cold.max_unannounced},
          {"falls", counters.cold.falls},
          {"cold", counters.is_cold},
          {"running", counters.running},
          {"queued", counters.queued},
          {"last_received_ms_ago",
           any ? json(state::ToMilliseconds(now - counters.last_received))
               : json()}};
}

}  // namespace

BackendFleet::BackendFleet(boost::asio::io_context& context,
                           const coordination::Clock& clock,
                           coordination::TimerService& timers)
    : context(context), clock(clock), timers(timers) {}

state::Result<std::uint16_t, transport::TransportError> BackendFleet::Add(
    const std::string& address, const BackendBehaviour& behaviour) {
  Member member;
  member.service = std::make_unique<BackendService>(this->clock, this->timers,
                                                    this->ledger, behaviour);
  transport::HttpServerLimits limits;
  limits.max_connections = behaviour.max_connections;
  limits.accept_delay = behaviour.connect_cost;
  member.server = std::make_unique<transport::HttpServer>(
      this->context, *member.service, limits);
  state::Result<std::uint16_t, transport::TransportError> port =
      member.server->Listen({address, behaviour.port});
  this->members.push_back(std::move(member));
  return port;
}

std::optional<protocol::ProtocolError> BackendFleet::Change(
    const std::string& pattern, const nlohmann::json& value) {
  bool any = false;
  for (const Member& member : this->members) {
    if (pattern != "*" && member.service->Behaviour().id != pattern) continue;
    any = true;
    std::optional<protocol::ProtocolError> error =
        member.service->Change(value);
    if (error) return error;
  }
  if (any) return std::nullopt;
  return protocol::ProtocolError{protocol::ProtocolErrorCode::kUnknownName, "",
                                 "no such server"};
}

nlohmann::json BackendFleet::Counters() const {
  const state::TimePoint now = this->clock.Now();
  json servers = json::object();
  for (const Member& member : this->members) {
    json counters = ToJson(member.service->Counters(), now);
    counters["connections"] = member.server->Connections();
    counters["connections_refused"] = member.server->RefusedConnections();
    servers[member.service->Behaviour().id] = std::move(counters);
  }
  return {{"servers", std::move(servers)}, {"actions", this->ledger.Runs()}};
}

void BackendAdmin::Handle(std::shared_ptr<transport::HttpExchange> exchange) {
  const protocol::HttpRequest& request = exchange->Request();
  if (request.target == "/admin/counters") {
    exchange->Respond({200, this->fleet.Counters().dump()});
    return;
  }
  if (request.target.rfind(kServersPath, 0) != 0) {
    exchange->Respond({404, "{}"});
    return;
  }
  const state::Result<json, protocol::ProtocolError> parsed =
      protocol::ParseJson(request.body, kMaxAdminBytes);
  std::optional<protocol::ProtocolError> error;
  if (state::IsOk(parsed)) {
    error = this->fleet.Change(
        request.target.substr(std::string(kServersPath).size()),
        state::ValueOf(parsed));
  } else {
    error = state::ErrorOf(parsed);
  }
  exchange->Respond(error ? protocol::EncodeInvalid(*error)
                          : protocol::HttpResponse{200, "{}"});
}

}  // namespace banyanknot::standins
