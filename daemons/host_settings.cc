#include "host_settings.h"

#include <fstream>
#include <optional>
#include <sstream>

#include "banyanknot/protocol/json_reader.h"

namespace banyanknot::daemons {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxSettingsBytes = 1u << 20;
constexpr std::uint64_t kMaxPort = 65535;
constexpr std::uint64_t kMaxThreads = 256;

state::Endpoint ReadEndpoint(protocol::JsonReader& parent, const char* member) {
  protocol::JsonReader reader(parent.AnyOrNull(member),
                              std::string("/") + member);
  state::Endpoint endpoint;
  endpoint.address = reader.String("address");
  endpoint.port = static_cast<std::uint16_t>(reader.Unsigned("port", kMaxPort));
  parent.Adopt(reader);
  return endpoint;
}

std::vector<coordination::EntryFault> OneFault(
    const protocol::ProtocolError& error) {
  return {{error.pointer, error.reason}};
}

}  // namespace

HostSettingsResult ReadHostSettings(const std::string& file) {
  std::ifstream stream(file);
  if (!stream) {
    return std::vector<coordination::EntryFault>{{"", "can't be read"}};
  }
  std::ostringstream text;
  text << stream.rdbuf();
  const state::Result<json, protocol::ProtocolError> parsed =
      protocol::ParseJson(text.str(), kMaxSettingsBytes);
  if (!state::IsOk(parsed)) return OneFault(state::ErrorOf(parsed));
  protocol::JsonReader reader(state::ValueOf(parsed), "");
  HostSettings settings;
  settings.id = state::HostId(reader.String("id"));
  settings.domain = state::FailureDomainId(reader.String("domain"));
  settings.caller_listen = ReadEndpoint(reader, "caller_listen");
  settings.peer_listen = ReadEndpoint(reader, "peer_listen");
  settings.platform = ReadEndpoint(reader, "platform");
  settings.threads = static_cast<std::size_t>(
      reader.UnsignedOr("threads", settings.threads, kMaxThreads));
  const std::optional<PolicySet> policies =
      state::FindValue(kPolicySetNames, reader.StringOr("policies", "full"));
  if (reader.Error()) return OneFault(*reader.Error());
  if (!policies) {
    return std::vector<coordination::EntryFault>{
        {"/policies", "must be full or naive"}};
  }
  settings.policies = *policies;
  return settings;
}

}  // namespace banyanknot::daemons
