#include "host_settings.h"

#include <array>

#include "banyanknot/protocol/json_reader.h"
#include "banyanknot/protocol/json_schema.h"
#include "settings_file.h"

namespace banyanknot::daemons {
namespace {

using nlohmann::json;

constexpr std::uint64_t kMaxPort = 65535;
constexpr std::uint64_t kMaxThreads = 256;

state::Endpoint ReadEndpoint(protocol::JsonReader& parent, const json& value,
                             const std::string& pointer) {
  protocol::JsonReader reader(value, pointer);
  state::Endpoint endpoint;
  endpoint.address = reader.String("address");
  endpoint.port = static_cast<std::uint16_t>(reader.Unsigned("port", kMaxPort));
  parent.Adopt(reader);
  return endpoint;
}

state::Endpoint ReadEndpoint(protocol::JsonReader& parent, const char* member) {
  return ReadEndpoint(parent, parent.AnyOrNull(member),
                      std::string("/") + member);
}

/// Returns the enumerator that a member names, or `fallback` if absent; the
/// schema rejects unknown names.
template <typename Enum, std::size_t kSize>
Enum ReadEnum(protocol::JsonReader& reader, const char* member,
              const std::array<state::EnumName<Enum>, kSize>& names,
              Enum fallback) {
  const std::string name = reader.StringOr(member, "");
  return state::FindValue(names, name).value_or(fallback);
}

HostSettings ReadMembers(protocol::JsonReader& reader) {
  HostSettings settings;
  settings.id = state::HostId(reader.String("id"));
  settings.domain = state::FailureDomainId(reader.String("domain"));
  settings.caller_listen = ReadEndpoint(reader, "caller_listen");
  settings.peer_listen = ReadEndpoint(reader, "peer_listen");
  settings.platform = ReadEndpoint(reader, "platform");
  for (const json& peer : reader.ArrayOrEmpty("seed_peers")) {
    settings.seed_peers.push_back(ReadEndpoint(reader, peer, "/seed_peers"));
  }
  settings.connect_from = reader.StringOr("connect_from", "");
  settings.threads = static_cast<std::size_t>(
      reader.UnsignedOr("threads", settings.threads, kMaxThreads));
  settings.policies =
      ReadEnum(reader, "policies", kPolicySetNames, settings.policies);
  settings.log_severity =
      ReadEnum(reader, "log_severity", coordination::kLogSeverityNames,
               settings.log_severity);
  settings.log_format =
      ReadEnum(reader, "log_format", kLogFormatNames, settings.log_format);
  return settings;
}

}  // namespace

HostSettingsResult ReadHostSettings(const std::string& file) {
  const SettingsDocument document =
      ReadSettingsDocument(file, protocol::HostSettingsSchemaText());
  if (!state::IsOk(document)) return state::ErrorOf(document);
  protocol::JsonReader reader(state::ValueOf(document), "");
  HostSettings settings = ReadMembers(reader);
  if (reader.Error()) return ToFaultList(*reader.Error());
  return settings;
}

}  // namespace banyanknot::daemons
