#include "relay_settings.h"

#include <algorithm>
#include <optional>

#include "banyanknot/protocol/json_reader.h"
#include "banyanknot/protocol/json_schema.h"
#include "settings_file.h"

namespace banyanknot::daemons {
namespace {

constexpr std::uint64_t kMaxThreads = 256;
constexpr std::uint64_t kDefaultMemoryMb = 256;
constexpr std::uint64_t kMaxMemoryMb = 1'000'000;
/// Between the end of a shutdown and the time at which the process is killed.
constexpr state::Duration kKillMargin = state::Milliseconds(500);

state::Endpoint ReadEndpoint(protocol::JsonReader& reader, const char* member) {
  const std::string text = reader.String(member);
  const std::optional<state::Endpoint> endpoint = state::EndpointFromText(text);
  if (!endpoint) {
    reader.Fail(protocol::ProtocolErrorCode::kMalformed, member,
                "must be address:port with a port of at most 65535");
  }
  return endpoint.value_or(state::Endpoint());
}

/// Ends the shutdown before the process is killed, `grace_s` after its start.
void LimitStopTimes(double grace_s, RelaySettings& settings) {
  constexpr double kMillisecondsPerSecond = 1'000;
  settings.stop_timeout =
      state::FromFractionalMilliseconds(grace_s * kMillisecondsPerSecond) -
      kKillMargin;
  settings.leave_grace =
      std::min(settings.leave_grace, settings.stop_timeout / 2);
}

/// Reads a number that the schema has checked; `fallback` if it is missing.
double NumberOr(protocol::JsonReader& reader, const char* member,
                double fallback) {
  const nlohmann::json& value = reader.AnyOrNull(member);
  return value.is_number() ? value.get<double>() : fallback;
}

std::optional<coordination::QuotaRules> ReadQuotaRules(
    protocol::JsonReader& reader, const state::FailureDomainId& own_domain) {
  constexpr double kMillisecondsPerSecond = 1'000;
  const double window_s = NumberOr(reader, "quota_window_s", 0);
  if (window_s <= 0) return std::nullopt;
  coordination::QuotaRules rules;
  rules.window =
      state::FromFractionalMilliseconds(window_s * kMillisecondsPerSecond);
  rules.over = NumberOr(reader, "quota_over", rules.over);
  rules.slack = NumberOr(reader, "quota_slack", rules.slack);
  for (const nlohmann::json& domain : reader.ArrayOrEmpty("domains")) {
    rules.domains.emplace_back(domain.get<std::string>());
  }
  if (std::find(rules.domains.begin(), rules.domains.end(), own_domain) ==
      rules.domains.end()) {
    reader.Fail(protocol::ProtocolErrorCode::kMissing, "domains",
                "must contain the host's own failure domain");
  }
  return rules;
}

RelaySettings ReadMembers(protocol::JsonReader& reader) {
  RelaySettings settings;
  settings.id = state::HostId(reader.String("id"));
  settings.domain = state::FailureDomainId(reader.String("domain"));
  settings.caller_listen = ReadEndpoint(reader, "caller_listen");
  settings.ready_listen = ReadEndpoint(reader, "ready_listen");
  settings.metrics_listen = ReadEndpoint(reader, "metrics_listen");
  settings.source = ReadEndpoint(reader, "source");
  if (!reader.AnyOrNull("peer_listen").is_null()) {
    settings.peer_listen = ReadEndpoint(reader, "peer_listen");
  }
  for (const nlohmann::json& seed : reader.ArrayOrEmpty("seeds")) {
    const std::optional<state::Endpoint> endpoint =
        state::EndpointFromText(seed.get<std::string>());
    if (endpoint) {
      settings.seeds.push_back(*endpoint);
    } else {
      reader.Fail(protocol::ProtocolErrorCode::kMalformed, "seeds",
                  "must be address:port with a port of at most 65535");
    }
  }
  settings.source_contact_timeout = reader.MillisecondsOr(
      "source_contact_ms", settings.source_contact_timeout);
  settings.threads = static_cast<std::size_t>(
      reader.UnsignedOr("threads", settings.threads, kMaxThreads));
  settings.cores = reader.AnyOrNull("core_share").is_number()
                       ? reader.AnyOrNull("core_share").get<double>() *
                             static_cast<double>(settings.threads)
                       : settings.cores;
  if (reader.AnyOrNull("stop_grace_s").is_number()) {
    LimitStopTimes(reader.AnyOrNull("stop_grace_s").get<double>(), settings);
  }
  settings.leave_grace =
      reader.MillisecondsOr("leave_grace_ms", settings.leave_grace);
  settings.stop_timeout =
      reader.MillisecondsOr("stop_bound_ms", settings.stop_timeout);
  settings.memory_limit_bytes = static_cast<std::size_t>(
      reader.UnsignedOr("memory_mb", kDefaultMemoryMb, kMaxMemoryMb) << 20);
  settings.max_descriptors = static_cast<std::size_t>(reader.UnsignedOr(
      "max_descriptors", settings.max_descriptors, settings.max_descriptors));
  settings.extra_request_share =
      reader.FractionOr("extra_request_share", settings.extra_request_share);
  settings.server_choice =
      state::FindValue(coordination::kServerChoiceKindNames,
                       reader.StringOr("server_choice", ""))
          .value_or(settings.server_choice);
  settings.quota_rules = ReadQuotaRules(reader, settings.domain);
  if (reader.BoolOr("strict_revocation", false)) {
    settings.key_lifetime =
        reader.MillisecondsOr("revocation_ms", settings.source_contact_timeout);
  }
  settings.log_severity = state::FindValue(coordination::kLogSeverityNames,
                                           reader.StringOr("log_severity", ""))
                              .value_or(settings.log_severity);
  return settings;
}

}  // namespace

RelaySettingsResult ReadRelaySettings(const std::string& file) {
  const SettingsDocument document =
      ReadSettingsDocument(file, protocol::RelaySettingsSchemaText());
  if (!state::IsOk(document)) return state::ErrorOf(document);
  protocol::JsonReader reader(state::ValueOf(document), "");
  RelaySettings settings = ReadMembers(reader);
  if (reader.Error()) return ToFaultList(*reader.Error());
  return settings;
}

}  // namespace banyanknot::daemons
