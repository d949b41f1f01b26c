#include "banyanknot/protocol/fleet_codec.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>
#include <system_error>
#include <utility>

#include "banyanknot/protocol/hop_headers.h"
#include "banyanknot/protocol/json_reader.h"

namespace banyanknot::protocol {
namespace {

constexpr const char* kVersionHeader = "Banyanknot-Hop";
constexpr const char* kRoutesHeader = "Banyanknot-Routes-Version";
constexpr const char* kElapsedHeader = "Banyanknot-Elapsed-Us";
constexpr const char* kOutsideHeader = "Banyanknot-Outside-Us";
/// Hosts of other protocol versions don't pass requests to each other.
constexpr const char* kProtocolVersion = "1";

constexpr std::size_t kMaxNameBytes = 128;
constexpr std::uint64_t kMaxAgeMs = 3'600'000;
constexpr std::uint64_t kMaxWaitMs = 30'000;
constexpr std::uint64_t kMaxRevision = UINT64_MAX;
constexpr std::uint64_t kMaxMilliCores = 1'000'000;
constexpr std::int64_t kMaxMicroseconds = 600'000'000;
constexpr double kMilliCoresPerCore = 1'000;

std::int64_t ToMicroseconds(state::Duration duration) {
  return std::chrono::duration_cast<std::chrono::microseconds>(duration)
      .count();
}

template <typename Number>
std::optional<Number> ParseWhole(std::string_view text) {
  Number number = 0;
  const char* const end = text.data() + text.size();
  const std::from_chars_result parsed =
      std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return number;
}

std::optional<state::Duration> ParseMicroseconds(std::string_view text) {
  const std::optional<std::int64_t> count = ParseWhole<std::int64_t>(text);
  if (!count || *count < 0 || *count > kMaxMicroseconds) return std::nullopt;
  return std::chrono::microseconds(*count);
}

std::string ReadName(JsonReader& reader, const char* member) {
  std::string name = reader.String(member);
  if (name.empty() || name.size() > kMaxNameBytes) {
    reader.Fail(ProtocolErrorCode::kOutOfRange, member,
                "must have 1 to 128 bytes");
  }
  return name;
}

state::HostAdvert ReadAdvert(JsonReader& reader) {
  state::HostAdvert advert;
  advert.id = state::HostId(ReadName(reader, "id"));
  advert.domain = state::FailureDomainId(ReadName(reader, "domain"));
  const std::optional<state::Endpoint> endpoint =
      state::EndpointFromText(ReadName(reader, "endpoint"));
  if (!endpoint || endpoint->port == 0) {
    reader.Fail(ProtocolErrorCode::kMalformed, "endpoint",
                "must be address:port");
  }
  advert.endpoint = endpoint.value_or(state::Endpoint());
  advert.cores =
      static_cast<double>(reader.Unsigned("milli_cores", kMaxMilliCores)) /
      kMilliCoresPerCore;
  advert.takes_work = reader.BoolOr("takes_work", false);
  advert.age = state::Milliseconds(
      static_cast<std::int64_t>(reader.Unsigned("age_ms", kMaxAgeMs)));
  return advert;
}

}  // namespace

std::string EncodeAdverts(const std::vector<state::HostAdvert>& adverts) {
  nlohmann::json list = nlohmann::json::array();
  for (const state::HostAdvert& advert : adverts) {
    list.push_back({{"id", advert.id.Text()},
                    {"domain", advert.domain.Text()},
                    {"endpoint", ToText(advert.endpoint)},
                    {"milli_cores", static_cast<std::uint64_t>(
                                        advert.cores * kMilliCoresPerCore)},
                    {"takes_work", advert.takes_work},
                    {"age_ms", std::max<std::int64_t>(
                                   0, state::ToMilliseconds(advert.age))}});
  }
  return nlohmann::json{{"adverts", std::move(list)}}.dump(
      -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

state::Result<std::vector<state::HostAdvert>, ProtocolError> DecodeAdverts(
    const std::string& text) {
  const state::Result<nlohmann::json, ProtocolError> document =
      ParseJson(text, kMaxAdvertsBytes);
  if (!state::IsOk(document)) return state::ErrorOf(document);
  JsonReader reader(state::ValueOf(document), "");
  const nlohmann::json& list = reader.ArrayOrEmpty("adverts");
  if (list.size() > kMaxAdverts) {
    reader.Fail(ProtocolErrorCode::kTooLarge, "adverts", "has too many");
  }
  std::vector<state::HostAdvert> adverts;
  for (const nlohmann::json& object : list) {
    if (reader.Error()) break;
    JsonReader member(object, "/adverts");
    adverts.push_back(ReadAdvert(member));
    reader.Adopt(member);
  }
  if (reader.Error()) return *reader.Error();
  return adverts;
}

std::string EncodePassedChanges(const coordination::PassedChanges& passed) {
  nlohmann::json changes = nlohmann::json::array();
  for (const coordination::EncodedChange& change : passed.changes) {
    changes.push_back({{"key", change.key},
                       {"text", change.text},
                       {"removed", change.is_removal},
                       {"revision", change.revision}});
  }
  const nlohmann::json document = {
      {"revision", passed.revision},
      {"age_ms",
       std::clamp<std::int64_t>(state::ToMilliseconds(passed.age), 0,
                                static_cast<std::int64_t>(kMaxAgeMs))},
      {"defers_removals", passed.defers_removals},
      {"snapshot", passed.is_snapshot},
      {"history_gone", passed.is_history_gone},
      {"changes", std::move(changes)}};
  return document.dump(-1, ' ', false,
                       nlohmann::json::error_handler_t::replace);
}

state::Result<coordination::PassedChanges, ProtocolError> DecodePassedChanges(
    const std::string& text) {
  const state::Result<nlohmann::json, ProtocolError> document =
      ParseJson(text, kMaxPassedBytes);
  if (!state::IsOk(document)) return state::ErrorOf(document);
  JsonReader reader(state::ValueOf(document), "");
  coordination::PassedChanges passed;
  passed.revision = reader.Unsigned("revision", kMaxRevision);
  passed.age = state::Milliseconds(
      static_cast<std::int64_t>(reader.Unsigned("age_ms", kMaxAgeMs)));
  passed.defers_removals = reader.BoolOr("defers_removals", false);
  passed.is_snapshot = reader.BoolOr("snapshot", false);
  passed.is_history_gone = reader.BoolOr("history_gone", false);
  for (const nlohmann::json& object : reader.ArrayOrEmpty("changes")) {
    if (reader.Error()) break;
    JsonReader member(object, "/changes");
    coordination::EncodedChange change;
    change.key = member.String("key");
    change.text = member.String("text");
    change.is_removal = member.BoolOr("removed", false);
    change.revision = member.Unsigned("revision", kMaxRevision);
    passed.changes.push_back(std::move(change));
    reader.Adopt(member);
  }
  if (reader.Error()) return *reader.Error();
  return passed;
}

std::string EncodeChangesTarget(const ChangesQuery& query) {
  if (query.wants_snapshot) return kChangesPath;
  return std::string(kChangesPath) + "?after=" + std::to_string(query.after) +
         "&wait_ms=" + std::to_string(state::ToMilliseconds(query.wait));
}

std::optional<ChangesQuery> DecodeChangesTarget(const std::string& target) {
  ChangesQuery query;
  if (target == kChangesPath) {
    query.wants_snapshot = true;
    return query;
  }
  const std::string prefix = std::string(kChangesPath) + "?after=";
  constexpr std::string_view kWait = "&wait_ms=";
  if (target.compare(0, prefix.size(), prefix) != 0) return std::nullopt;
  const std::string_view rest = std::string_view(target).substr(prefix.size());
  const std::size_t split = rest.find(kWait);
  if (split == std::string_view::npos) return std::nullopt;
  const std::optional<std::uint64_t> after =
      ParseWhole<std::uint64_t>(rest.substr(0, split));
  const std::optional<std::uint64_t> wait_ms =
      ParseWhole<std::uint64_t>(rest.substr(split + kWait.size()));
  if (!after || !wait_ms || *wait_ms > kMaxWaitMs) return std::nullopt;
  query.after = *after;
  query.wait = state::Milliseconds(static_cast<std::int64_t>(*wait_ms));
  return query;
}

void AddDelegationHeader(const DelegationHeader& delegation,
                         HttpRequest& request) {
  request.headers.push_back({kVersionHeader, kProtocolVersion});
  request.headers.push_back(
      {kRoutesHeader, std::to_string(delegation.routes_version)});
  request.headers.push_back(
      {kElapsedHeader, std::to_string(ToMicroseconds(delegation.elapsed))});
  request.headers.push_back({kOutsideHeader, std::to_string(ToMicroseconds(
                                                 delegation.outside_time))});
}

state::Result<DelegationHeader, ProtocolErrorCode> TakeDelegationHeader(
    HttpRequest& request) {
  const std::string version(HeaderValue(request.headers, kVersionHeader));
  if (version.empty()) return ProtocolErrorCode::kMissing;
  const std::optional<std::uint64_t> routes_version =
      ParseWhole<std::uint64_t>(HeaderValue(request.headers, kRoutesHeader));
  const std::optional<state::Duration> elapsed =
      ParseMicroseconds(HeaderValue(request.headers, kElapsedHeader));
  const std::optional<state::Duration> outside_time =
      ParseMicroseconds(HeaderValue(request.headers, kOutsideHeader));
  if (version != kProtocolVersion || !routes_version || !elapsed ||
      !outside_time) {
    return ProtocolErrorCode::kMalformed;
  }
  for (const char* name :
       {kVersionHeader, kRoutesHeader, kElapsedHeader, kOutsideHeader}) {
    RemoveHeader(request.headers, name);
  }
  return DelegationHeader{*routes_version, *elapsed, *outside_time};
}

}  // namespace banyanknot::protocol
