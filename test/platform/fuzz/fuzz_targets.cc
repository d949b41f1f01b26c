#include "platform/fuzz/fuzz_targets.h"

#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>
#include <string_view>

#include "banyanknot/protocol/caller_codec.h"
#include "banyanknot/protocol/catalogue_codec.h"
#include "banyanknot/protocol/fleet_codec.h"
#include "banyanknot/protocol/json_reader.h"
#include "banyanknot/protocol/json_schema.h"
#include "banyanknot/protocol/peer_codec.h"
#include "banyanknot/protocol/peer_frame.h"
#include "platform/entry_decoder.h"
#include "platform/header_relay_codec.h"

namespace banyanknot::fuzz {
namespace {

namespace http = boost::beast::http;

constexpr std::size_t kMaxMessageBytes = 1u << 20;
constexpr std::uint32_t kMaxHeadBytes = 16u << 10;

void ServerEntry(const std::string& bytes) {
  platform::DecodeServer("i-1", bytes);
  platform::DecodeServer(bytes, R"({"Service":"s"})");
}

void Routes(const std::string& bytes) { platform::DecodeRoutes(bytes); }

void StoreItem(const std::string& bytes) {
  platform::DecodeItem(nlohmann::json::parse(bytes, nullptr, false));
}

/// Parses one HTTP message as the transport layer does.
/// \returns false if it is not one whole message
template <bool kIsRequest>
bool ParseMessage(
    const std::string& bytes,
    http::message<kIsRequest, http::string_body, http::fields>& message) {
  http::parser<kIsRequest, http::string_body> parser;
  parser.header_limit(kMaxHeadBytes);
  parser.body_limit(kMaxMessageBytes);
  parser.eager(true);
  boost::beast::error_code error;
  std::size_t parsed = 0;
  while (parsed < bytes.size() && !parser.is_done()) {
    const std::size_t taken = parser.put(
        boost::asio::buffer(bytes.data() + parsed, bytes.size() - parsed),
        error);
    if (error || taken == 0) return false;
    parsed += taken;
  }
  if (!parser.is_done()) return false;
  message = parser.release();
  return true;
}

std::vector<state::HeaderField> HeadersOf(const http::fields& fields) {
  std::vector<state::HeaderField> headers;
  for (const http::fields::value_type& field : fields) {
    headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  return headers;
}

void ServerReply(const std::string& bytes) {
  http::response<http::string_body> message;
  if (!ParseMessage<false>(bytes, message)) return;
  protocol::HttpResponse response;
  response.status = message.result_int();
  response.headers = HeadersOf(message);
  response.body = message.body();
  const platform::HeaderRelayCodec codec;
  codec.IsHealthResponse(response);
  codec.DecodeHealth(response);
  codec.IsReplyTo(response, "r-1");
  codec.DecodeReply(std::move(response));
}

void CallerRequest(const std::string& bytes) {
  http::request<http::string_body> message;
  if (!ParseMessage<true>(bytes, message)) return;
  protocol::HttpRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  request.headers = HeadersOf(message);
  request.body = message.body();
  static_cast<void>(protocol::TakeDelegationHeader(request));
  const platform::HeaderRelayCodec codec;
  codec.DecodeRequest(request, state::TimePoint());
  static_cast<void>(protocol::DecodeQuery(request.body));
}

void PeerFrame(const std::string& bytes) {
  if (bytes.size() >= protocol::kPeerFrameHeaderBytes) {
    static_cast<void>(protocol::DecodePeerFrameHeader(
        bytes.substr(0, protocol::kPeerFrameHeaderBytes)));
  }
  static_cast<void>(protocol::DecodePeer(bytes));
}

void Adverts(const std::string& bytes) {
  static_cast<void>(protocol::DecodeAdverts(bytes));
}

void Catalogue(const std::string& bytes) {
  const protocol::CatalogueCodec codec;
  for (const char* key : {"fleet", "service/a", "domain/a"}) {
    static_cast<void>(codec.Decode(key, bytes));
  }
}

void Settings(const std::string& bytes) {
  const state::Result<nlohmann::json, protocol::ProtocolError> document =
      protocol::ParseJson(bytes, kMaxMessageBytes);
  if (!state::IsOk(document)) return;
  protocol::JsonReader reader(state::ValueOf(document), "");
  reader.StringOr("id", "");
  reader.MillisecondsOr("source_contact_ms", state::Duration(0));
  reader.FractionOr("extra_request_share", 0);
  reader.ArrayOrEmpty("seeds");
}

}  // namespace

std::vector<FuzzTarget> AllTargets() {
  const std::string server =
      R"({"Service":"d","Address":"10.0.0.9:8080","Zone":"z","Slots":2,)"
      R"("State":"ready","WarmupLeftMs":1500,"born":1787274835021})";
  const std::string routes =
      R"({"Version":7,"Routes":[{"Name":"all","Host":"a","Prefix":"/a/",)"
      R"("RouteType":"idempotent","TimeoutMs":400,"ObjectiveMs":60,)"
      R"("Priority":2,"Gather":["s1","s2"],"MaxAttempts":2,"TopK":5,)"
      R"("MinCoverage":0.75}],"Services":[{"Name":"d","HealthPath":"/h",)"
      R"("MaxConns":26,"WarmupS":3.0,"WarmupPerS":0.0}],"Limits":)"
      R"({"MaxHeaderBytes":16384,"MaxBodyBytes":262144,)"
      R"("HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})";
  state::HostAdvert advert;
  advert.id = state::HostId("h");
  advert.domain = state::FailureDomainId("a");
  advert.endpoint = {"10.0.0.1", 80};
  return {
      {"server_entry", ServerEntry, {server}},
      {"routes", Routes, {routes}},
      {"store_item",
       StoreItem,
       {R"({"Key":"servers/i","Value":"e30=","Revision":3})",
        R"({"Key":"op/evacuate/z","Revision":4,"Deleted":true})"}},
      {"server_reply",
       ServerReply,
       {"HTTP/1.1 503 x\r\nRetry-After: 0.5\r\nServer-Load: 1,2,3\r\n"
        "Server-Leaving: 1\r\nWarmup-Ms: 900\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        "2;a=b\r\nok\r\n0\r\nX: y\r\n\r\n"}},
      {"caller_request",
       CallerRequest,
       {"POST /a/1 HTTP/1.1\r\nHost: a\r\nAttempt-Id: 9c41d07be2a35f68\r\n"
        "Deadline-Ms: 500\r\nBanyanknot-Hop: 1\r\n"
        "Banyanknot-Elapsed-Us: 5\r\nContent-Length: 2\r\n\r\n{}"}},
      {"peer_frame", PeerFrame, {std::string("\x08\0\0\0bk\x01\0", 8)}},
      {"adverts", Adverts, {protocol::EncodeAdverts({advert})}},
      {"catalogue",
       Catalogue,
       {R"({"owner":"o","class":"c","shards":[],"state":"in"})"}},
      {"settings", Settings, {R"({"id":"a","seeds":["10.0.0.1:80"]})"}},
  };
}

}  // namespace banyanknot::fuzz
