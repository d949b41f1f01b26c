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

constexpr std::size_t kMaxAdvertsBytes = 16u << 10;
constexpr std::size_t kMaxNameBytes = 128;
constexpr std::uint64_t kMaxAgeMs = 3'600'000;
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
