#include "proxy_admin.h"

#include <limits>
#include <string>

#include "banyanknot/protocol/caller_codec.h"
#include "banyanknot/protocol/json_reader.h"

namespace banyanknot::standins {
namespace {

using protocol::JsonReader;

constexpr std::uint64_t kAnyNumber = std::numeric_limits<std::uint64_t>::max();
constexpr std::uint64_t kMaxPort = 65535;
constexpr std::size_t kMaxAdminBytes = 1u << 20;

std::uint16_t ReadPort(JsonReader& reader, const char* member) {
  return static_cast<std::uint16_t>(reader.UnsignedOr(member, 0, kMaxPort));
}

RouteFaults ReadFaults(JsonReader& reader) {
  RouteFaults faults;
  faults.delay = reader.MillisecondsOr("delay_ms", faults.delay);
  faults.drops_new = reader.BoolOr("drops_new", false);
  faults.reset_after_bytes =
      reader.UnsignedOr("reset_after_bytes", 0, kAnyNumber);
  faults.cross_every = reader.UnsignedOr("cross_every", 0, kAnyNumber);
  return faults;
}

/// Carries out one request; the number of routes or connections it concerned.
std::size_t CarryOut(FaultProxy& proxy, const std::string& target,
                     JsonReader& reader) {
  const std::string routes = reader.StringOr("routes", "*");
  if (target == "/admin/faults") {
    const RouteFaults faults = ReadFaults(reader);
    return reader.Error() ? 0 : proxy.SetFaults(routes, faults);
  }
  if (target == "/admin/blackhole") {
    const double share = reader.FractionOr("share", 1.0);
    return reader.Error() ? 0 : proxy.BlackholeOpen(routes, share);
  }
  if (target == "/admin/cut") {
    proxy.Cut(reader.StringOr("from", ""), reader.StringOr("to", ""));
  } else if (target == "/admin/heal") {
    proxy.HealCuts();
  } else {
    reader.Fail(protocol::ProtocolErrorCode::kUnknownName, "", "no such path");
  }
  return 0;
}

}  // namespace

ProxyRoutesResult ReadProxyRoutes(const nlohmann::json& value) {
  JsonReader reader(value, "");
  std::vector<ProxyRoute> routes;
  for (const nlohmann::json& item : reader.ArrayOrEmpty("routes")) {
    JsonReader nested(item, "/routes");
    ProxyRoute route;
    route.name = nested.String("name");
    route.from_domain = nested.StringOr("from", "");
    route.to_domain = nested.StringOr("to", "");
    route.target = {nested.StringOr("address", "127.0.0.1"),
                    ReadPort(nested, "target_port")};
    route.port = ReadPort(nested, "port");
    reader.Adopt(nested);
    routes.push_back(route);
  }
  if (reader.Error()) return *reader.Error();
  return routes;
}

void ProxyAdmin::Handle(std::shared_ptr<transport::HttpExchange> exchange) {
  const protocol::HttpRequest& request = exchange->Request();
  const state::Result<nlohmann::json, protocol::ProtocolError> parsed =
      protocol::ParseJson(request.body.empty() ? "{}" : request.body,
                          kMaxAdminBytes);
  if (!state::IsOk(parsed)) {
    exchange->Respond(protocol::EncodeInvalid(state::ErrorOf(parsed)));
    return;
  }
  JsonReader reader(state::ValueOf(parsed), "");
  const std::size_t concerned = CarryOut(this->proxy, request.target, reader);
  if (reader.Error()) {
    exchange->Respond(protocol::EncodeInvalid(*reader.Error()));
    return;
  }
  exchange->Respond({200, "{\"concerned\":" + std::to_string(concerned) + "}"});
}

}  // namespace banyanknot::standins
