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
constexpr const char* kWorkspaceHeader = "Banyanknot-Workspace";
constexpr const char* kPriorityHeader = "Banyanknot-Priority";
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

namespace {

constexpr std::uint64_t kMaxCredit = 1'000'000;
constexpr std::uint64_t kMaxHosts = 1'000'000;
constexpr double kMaxRate = 1'000'000;

coordination::KnownHosts ReadKnownHosts(JsonReader& reader) {
  return {static_cast<std::size_t>(reader.Unsigned("hosts", kMaxHosts)),
          reader.BoolOr("settled", false)};
}

/// Reads a number from 0 to kMaxRate.
double ReadRate(JsonReader& reader, const char* member) {
  const nlohmann::json& value = reader.AnyOrNull(member);
  const double rate = value.is_number() ? value.get<double>() : -1;
  if (rate >= 0 && rate <= kMaxRate) return rate;
  reader.Fail(ProtocolErrorCode::kOutOfRange, member,
              "must be a number of at least 0");
  return 0;
}

}  // namespace

std::string EncodeCreditRequest(const coordination::CreditRequest& request) {
  return nlohmann::json{{"action", std::string(NameOf(request.action))},
                        {"host", request.host.Text()},
                        {"workspace", request.workspace.Text()},
                        {"rate", request.quota.rate},
                        {"burst", request.quota.burst},
                        {"version", request.routes_version},
                        {"count", request.count},
                        {"hosts", request.known_hosts.count},
                        {"settled", request.known_hosts.is_settled}}
      .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

state::Result<coordination::CreditRequest, ProtocolError> DecodeCreditRequest(
    const std::string& text) {
  const state::Result<nlohmann::json, ProtocolError> document =
      ParseJson(text, kMaxCreditBytes);
  if (!state::IsOk(document)) return state::ErrorOf(document);
  JsonReader reader(state::ValueOf(document), "");
  coordination::CreditRequest request;
  const std::optional<coordination::CreditAction> action = state::FindValue(
      coordination::kCreditActionNames, reader.String("action"));
  if (!action) {
    reader.Fail(ProtocolErrorCode::kUnknownName, "action", "is unknown");
  }
  request.action = action.value_or(coordination::CreditAction::kTake);
  request.host = state::HostId(ReadName(reader, "host"));
  request.workspace = state::WorkspaceId(reader.String("workspace"));
  request.quota.rate = ReadRate(reader, "rate");
  request.quota.burst = ReadRate(reader, "burst");
  request.routes_version = reader.Unsigned("version", kMaxRevision);
  request.count = static_cast<unsigned>(reader.Unsigned("count", kMaxCredit));
  request.known_hosts = ReadKnownHosts(reader);
  if (reader.Error()) return *reader.Error();
  return request;
}

std::string EncodeCreditGrant(const coordination::CreditGrant& grant) {
  return nlohmann::json{
      {"granted", grant.granted},
      {"retry_ms",
       std::max<std::int64_t>(0, state::ToMilliseconds(grant.retry_after))},
      {"hosts", grant.known_hosts.count},
      {"settled", grant.known_hosts.is_settled}}
      .dump();
}

state::Result<coordination::CreditGrant, ProtocolError> DecodeCreditGrant(
    const std::string& text) {
  const state::Result<nlohmann::json, ProtocolError> document =
      ParseJson(text, kMaxCreditBytes);
  if (!state::IsOk(document)) return state::ErrorOf(document);
  JsonReader reader(state::ValueOf(document), "");
  coordination::CreditGrant grant;
  grant.granted = static_cast<unsigned>(reader.Unsigned("granted", kMaxCredit));
  grant.retry_after = state::Milliseconds(
      static_cast<std::int64_t>(reader.Unsigned("retry_ms", kMaxAgeMs)));
  grant.known_hosts = ReadKnownHosts(reader);
  if (reader.Error()) return *reader.Error();
  return grant;
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
      {"revision", passed.position.revision},
      {"era", passed.position.era},
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
  passed.position.revision = reader.Unsigned("revision", kMaxRevision);
  // Hosts of earlier releases send none.
  passed.position.era = reader.UnsignedOr("era", 0, kMaxRevision);
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
  std::string target =
      std::string(kChangesPath) +
      "?after=" + std::to_string(query.after.revision) +
      "&wait_ms=" + std::to_string(state::ToMilliseconds(query.wait));
  // Hosts of earlier releases, which know no eras, refuse other forms.
  if (query.after.era == 0) return target;
  return target + "&era=" + std::to_string(query.after.era);
}

std::optional<ChangesQuery> DecodeChangesTarget(const std::string& target) {
  ChangesQuery query;
  if (target == kChangesPath) {
    query.wants_snapshot = true;
    return query;
  }
  const std::string prefix = std::string(kChangesPath) + "?after=";
  constexpr std::string_view kWait = "&wait_ms=";
  constexpr std::string_view kEra = "&era=";
  if (target.compare(0, prefix.size(), prefix) != 0) return std::nullopt;
  const std::string_view rest = std::string_view(target).substr(prefix.size());
  const std::size_t split = rest.find(kWait);
  if (split == std::string_view::npos) return std::nullopt;
  const std::optional<std::uint64_t> after =
      ParseWhole<std::uint64_t>(rest.substr(0, split));
  std::string_view wait = rest.substr(split + kWait.size());
  std::optional<std::uint64_t> era = 0;
  const std::size_t era_at = wait.find(kEra);
  if (era_at != std::string_view::npos) {
    era = ParseWhole<std::uint64_t>(wait.substr(era_at + kEra.size()));
    wait = wait.substr(0, era_at);
  }
  const std::optional<std::uint64_t> wait_ms = ParseWhole<std::uint64_t>(wait);
  if (!after || !wait_ms || !era || *wait_ms > kMaxWaitMs) return std::nullopt;
  query.after = {*after, *era};
  query.wait = state::Milliseconds(static_cast<std::int64_t>(*wait_ms));
  return query;
}

namespace {

void RemoveDelegationHeader(HttpRequest& request) {
  for (const char* name : {kVersionHeader, kRoutesHeader, kElapsedHeader,
                           kOutsideHeader, kWorkspaceHeader, kPriorityHeader}) {
    RemoveHeader(request.headers, name);
  }
}

}  // namespace

void AddDelegationHeader(const DelegationHeader& delegation,
                         HttpRequest& request) {
  // A caller's own ones must not be taken for this host's.
  RemoveDelegationHeader(request);
  request.headers.push_back({kVersionHeader, kProtocolVersion});
  request.headers.push_back(
      {kRoutesHeader, std::to_string(delegation.routes_version)});
  request.headers.push_back(
      {kElapsedHeader, std::to_string(ToMicroseconds(delegation.elapsed))});
  request.headers.push_back({kOutsideHeader, std::to_string(ToMicroseconds(
                                                 delegation.outside_time))});
  if (!delegation.workspace.IsEmpty()) {
    request.headers.push_back({kWorkspaceHeader, delegation.workspace.Text()});
  }
  if (delegation.priority) {
    request.headers.push_back(
        {kPriorityHeader, std::to_string(*delegation.priority)});
  }
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
  const std::string priority_text(
      HeaderValue(request.headers, kPriorityHeader));
  const std::optional<unsigned> priority = ParseWhole<unsigned>(priority_text);
  if (version != kProtocolVersion || !routes_version || !elapsed ||
      !outside_time || (!priority_text.empty() && !priority)) {
    return ProtocolErrorCode::kMalformed;
  }
  state::WorkspaceId workspace(
      std::string(HeaderValue(request.headers, kWorkspaceHeader)));
  RemoveDelegationHeader(request);
  return DelegationHeader{*routes_version, *elapsed, *outside_time,
                          std::move(workspace), priority};
}

}  // namespace banyanknot::protocol
