#include "platform/header_relay_codec.h"

#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

#include "banyanknot/protocol/hop_headers.h"
#include "banyanknot/protocol/key_digest.h"

namespace banyanknot::platform {
namespace {

using protocol::HeaderValue;

const HeaderRelayCodec kCodec;

protocol::HttpRequest ExampleRequest() {
  protocol::HttpRequest request;
  request.method = "POST";
  request.target = "/p/%2f?a=b&a=c";
  request.body = std::string("\0\x01 body", 7);
  request.headers = {{"Host", "h.example"},
                     {"Attempt-Id", "abc"},
                     {"Deadline-Ms", "500"},
                     {"Connection", "X-Mine, close"},
                     {"X-Mine", "1"},
                     {"X-Other", "2"},
                     {"x-other", "3"},
                     {"Target-Instance", "i-evil"},
                     {"Transfer-Encoding", "chunked"}};
  return request;
}

TEST_CASE("A request is forwarded unchanged except for hop-by-hop headers") {
  const state::TimePoint now{state::Milliseconds(5'000)};
  coordination::RelaySend send;
  send.server = state::InstanceId("i-1");
  send.request = std::make_shared<const state::RelayRequest>(
      kCodec.DecodeRequest(ExampleRequest(), now));
  CHECK(send.request->id == "abc");
  CHECK(send.request->host == "h.example");
  CHECK(send.request->deadline == state::Milliseconds(500));
  const protocol::HttpRequest sent =
      kCodec.EncodeSend(send, state::Milliseconds(321));
  CHECK(sent.method == "POST");
  CHECK(sent.target == "/p/%2f?a=b&a=c");
  CHECK(sent.body == ExampleRequest().body);
  CHECK(HeaderValue(sent.headers, "Attempt-Id") == "abc");
  CHECK(HeaderValue(sent.headers, "Host") == "h.example");
  CHECK(HeaderValue(sent.headers, "Deadline-Ms") == "321");
  CHECK(HeaderValue(sent.headers, "Target-Instance") == "i-1");
  CHECK(HeaderValue(sent.headers, "X-Other") == "2");
  CHECK(sent.headers.size() == 6);
  for (const char* dropped : {"Connection", "X-Mine", "Transfer-Encoding"}) {
    CHECK(HeaderValue(sent.headers, dropped).empty());
  }
}

/// Returns the key that a request is decoded with, sent with these values.
std::optional<state::KeyDigest> KeySentAs(
    const std::vector<std::string>& values) {
  protocol::HttpRequest request = ExampleRequest();
  for (const std::string& value : values) {
    request.headers.push_back({"authorization", value});
  }
  return kCodec.DecodeRequest(request, state::TimePoint()).key;
}

TEST_CASE("The key of a request is read from its header") {
  const state::KeyDigest key = protocol::DigestOfKey("if3882p5");
  CHECK(KeySentAs({}) == std::nullopt);
  CHECK(KeySentAs({"Token if3882p5"}) == key);
  CHECK(KeySentAs({"token  if3882p5"}) == key);
  for (const std::vector<std::string>& values :
       std::vector<std::vector<std::string>>{{"if3882p5"},
                                             {"Basic if3882p5"},
                                             {"Token"},
                                             {"Token "},
                                             {""},
                                             {"Token if3882p5 x"},
                                             {"Token if3882p5", "Token a"}}) {
    const std::optional<state::KeyDigest> other = KeySentAs(values);
    REQUIRE(other);
    CHECK(*other != key);
  }
}

TEST_CASE("A server is told the workspace and never the key") {
  protocol::HttpRequest request = ExampleRequest();
  request.headers.push_back({"Authorization", "Token if3882p5"});
  request.headers.push_back({"tenant", "forged"});
  state::RelayRequest decoded =
      kCodec.DecodeRequest(request, state::TimePoint());
  CHECK(decoded.identity_headers.size() == 2);
  coordination::RelaySend send;
  // Without workspaces, the headers have no meaning and pass.
  send.request = std::make_shared<const state::RelayRequest>(decoded);
  const protocol::HttpRequest plain =
      kCodec.EncodeSend(send, state::Milliseconds(9));
  CHECK(HeaderValue(plain.headers, "Authorization") == "Token if3882p5");
  CHECK(HeaderValue(plain.headers, "Tenant") == "forged");
  decoded.identity_headers.clear();
  decoded.workspace = state::WorkspaceId("farm");
  send.request = std::make_shared<const state::RelayRequest>(decoded);
  for (const protocol::HttpRequest& sent :
       {kCodec.EncodeSend(send, state::Milliseconds(9)),
        kCodec.EncodeDelegated(decoded)}) {
    CHECK(HeaderValue(sent.headers, "Authorization").empty());
    CHECK(protocol::CountHeaders(sent.headers, "Tenant") <= 1);
    CHECK(HeaderValue(sent.headers, "Tenant") != "forged");
  }
  CHECK(HeaderValue(kCodec.EncodeSend(send, state::Milliseconds(9)).headers,
                    "Tenant") == "farm");
}

TEST_CASE("Refusals of keys and quotas say what to do next") {
  coordination::RelayAnswer answer;
  answer.outcome = state::RelayOutcome::kUnauthorized;
  const protocol::HttpResponse unauthorized =
      kCodec.EncodeAnswer(answer, "abc");
  CHECK(unauthorized.status == 401);
  CHECK(HeaderValue(unauthorized.headers, "WWW-Authenticate") == "Token");
  answer.outcome = state::RelayOutcome::kOverQuota;
  answer.retry_after = state::Milliseconds(1'250);
  const protocol::HttpResponse over_quota = kCodec.EncodeAnswer(answer, "abc");
  CHECK(over_quota.status == 429);
  CHECK(HeaderValue(over_quota.headers, "Retry-After") == "1.250");
}

TEST_CASE("DecodeReply classifies replies by status and headers") {
  struct Row {
    const char* name;
    unsigned status;
    std::vector<state::HeaderField> headers;
    bool is_success;
    bool is_not_run;
    bool is_other_server;
  };
  const state::HeaderField signature{"Server-Stamp", "s"};
  const std::vector<Row> rows = {
      {"good", 200, {signature, {"Attempt-Id", "abc"}}, true, false, false},
      {"unsigned", 200, {}, false, false, false},
      {"encoded",
       200,
       {signature, {"Content-Encoding", "gzip"}},
       false,
       false,
       false},
      {"failure", 500, {signature}, false, false, false},
      {"shed", 503, {{"Not-Executed", "1"}}, false, true, false},
      {"unmarked 503", 503, {}, false, false, false},
      {"another server", 421, {{"Instance-Id", "i-2"}}, false, true, true},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    protocol::HttpResponse response;
    response.status = row.status;
    response.headers = row.headers;
    const coordination::RelayReply reply = kCodec.DecodeReply(response);
    CHECK(reply.IsSuccess() == row.is_success);
    CHECK(reply.is_proven_not_run == row.is_not_run);
    CHECK(reply.is_other_server == row.is_other_server);
  }
}

// Guards against a late response being taken for that to another request.
TEST_CASE("Only a response that names the request is a reply to it") {
  struct Row {
    const char* name;
    unsigned status;
    std::vector<state::HeaderField> headers;
    bool is_reply;
  };
  const state::HeaderField signature{"Server-Stamp", "s"};
  const state::HeaderField not_run{"Not-Executed", "1"};
  const std::vector<Row> rows = {
      {"own", 200, {signature, {"Attempt-Id", "abc"}}, true},
      {"own refusal", 503, {not_run, {"Attempt-Id", "abc"}}, true},
      {"success of another", 200, {signature, {"Attempt-Id", "x"}}, false},
      {"refusal of another", 503, {not_run, {"Attempt-Id", "x"}}, false},
      {"misdirected other", 421, {not_run, {"Attempt-Id", "x"}}, false},
      {"refused health check", 503, {not_run}, false},
      {"health response", 200, {{"Instance-Id", "i-1"}}, false},
      {"two heads in one",
       200,
       {{"Attempt-Id", "abc"},
        {"Server-Stamp", "sHTTP/1.1 200 OK"},
        {"Attempt-Id", "abc"},
        signature},
       false},
      {"longer id", 200, {signature, {"Attempt-Id", "abcd"}}, false},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    protocol::HttpResponse response;
    response.status = row.status;
    response.headers = row.headers;
    CHECK(kCodec.IsReplyTo(response, "abc") == row.is_reply);
  }
}

// Guards against a late answer being taken for a health response.
TEST_CASE("Only a response that names no request answers a health check") {
  struct Row {
    const char* name;
    unsigned status;
    std::vector<state::HeaderField> headers;
    bool is_health;
  };
  const std::vector<Row> rows = {
      {"healthy", 200, {{"Instance-Id", "i-1"}}, true},
      {"draining", 503, {{"Instance-Id", "i-1"}}, true},
      {"shed", 503, {{"Not-Executed", "1"}}, true},
      {"unnamed success", 200, {}, false},
      {"answer",
       200,
       {{"Attempt-Id", "abc"}, {"Server-Stamp", "s"}, {"Instance-Id", "i-1"}},
       false},
      {"refusal of a request",
       503,
       {{"Attempt-Id", "abc"}, {"Not-Executed", "1"}},
       false},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    protocol::HttpResponse response;
    response.status = row.status;
    response.headers = row.headers;
    CHECK(kCodec.IsHealthResponse(response) == row.is_health);
  }
}

TEST_CASE("Load and health are decoded and malformed load is ignored") {
  protocol::HttpResponse response;
  response.headers = {
      {"Server-Load", "3,1,8"}, {"Instance-Id", "i-9"}, {"Warmup-Ms", "1200"}};
  const coordination::RelayReply reply = kCodec.DecodeReply(response);
  REQUIRE(reply.load);
  CHECK(reply.load->running == 3);
  CHECK(reply.load->waiting == 1);
  CHECK(reply.load->slots == 8);
  const coordination::ServerHealth health = kCodec.DecodeHealth(response);
  CHECK(health.server.Text() == "i-9");
  CHECK(health.cold_for == state::Milliseconds(1200));
  CHECK(health.is_healthy);
  for (const char* bad : {"", "3", "3,x,1", "a,b,c"}) {
    response.headers = {{"Server-Load", bad}};
    CHECK_FALSE(kCodec.DecodeReply(response).load);
  }
}

TEST_CASE("What a server says of itself is decoded in any reply") {
  protocol::HttpResponse response;
  for (const unsigned status : {200u, 421u, 500u, 503u}) {
    response.status = status;
    response.headers = {{"Server-Leaving", "1"}};
    CHECK(kCodec.DecodeReply(response).notice.is_leaving);
    CHECK(kCodec.DecodeHealth(response).notice.is_leaving);
    response.headers = {};
    CHECK_FALSE(kCodec.DecodeReply(response).notice.is_leaving);
  }
  struct Row {
    unsigned status;
    const char* retry_after;
    state::Duration expected;
  };
  const state::Duration day = state::Milliseconds(86'400'000);
  const state::Duration none{0};
  const std::vector<Row> rows = {
      {503, "2", state::Milliseconds(2'000)},
      {503, "0.25", state::Milliseconds(250)},
      {503, "0", none},
      {503, "-3", none},
      {503, "", none},
      {503, "soon", none},
      {503, "2 s", none},
      {503, "nan", none},
      {503, "inf", none},
      {503, "Wed, 21 Oct 2026 07:28:00 GMT", none},
      {503, "99999999999999999999999999", day},
      {429, "1", state::Milliseconds(1'000)},
      {500, "1", none},
      {200, "1", none},
  };
  for (const Row& row : rows) {
    INFO(row.status << " " << row.retry_after);
    response.status = row.status;
    response.headers = {{"Retry-After", row.retry_after}};
    CHECK(kCodec.DecodeReply(response).notice.back_off == row.expected);
    CHECK(kCodec.DecodeHealth(response).notice.back_off == row.expected);
  }
  response.headers = {{"Retry-After", std::string(400, '9')}};
  response.status = 503;
  CHECK(kCodec.DecodeReply(response).notice.back_off == day);
}

TEST_CASE("Numbers in headers can't overflow") {
  protocol::HttpRequest request = ExampleRequest();
  struct Row {
    const char* text;
    state::Duration expected;
  };
  const state::Duration day = state::Milliseconds(86'400'000);
  for (const Row& row :
       std::vector<Row>{{"500", state::Milliseconds(500)},
                        {"-500", state::Duration(0)},
                        {"9223372036854775807", day},
                        {"-9223372036854775808", state::Duration(0)},
                        {"99999999999999999999999", day},
                        {"-99999999999999999999999", state::Duration(0)},
                        {"x", state::Duration(0)}}) {
    INFO(row.text);
    for (state::HeaderField& header : request.headers) {
      if (header.name == "Deadline-Ms") header.value = row.text;
    }
    CHECK(kCodec.DecodeRequest(request, state::TimePoint()).deadline ==
          row.expected);
    protocol::HttpResponse response;
    response.headers = {{"Warmup-Ms", row.text}};
    CHECK(kCodec.DecodeHealth(response).cold_for == row.expected);
  }
  protocol::HttpResponse response;
  response.headers = {{"Server-Load", "18446744073709551615,1,8"}};
  CHECK_FALSE(kCodec.DecodeReply(response).load);
}

TEST_CASE("Each outcome has its HTTP status") {
  struct Row {
    state::RelayOutcome outcome;
    unsigned status;
  };
  const std::vector<Row> rows = {
      {state::RelayOutcome::kWhole, 200},
      {state::RelayOutcome::kPartial, 200},
      {state::RelayOutcome::kNotRun, 503},
      {state::RelayOutcome::kNotConfigured, 503},
      {state::RelayOutcome::kFailed, 502},
      {state::RelayOutcome::kTimedOut, 504},
      {state::RelayOutcome::kNoRoute, 404},
      {state::RelayOutcome::kInvalid, 400},
  };
  for (const Row& row : rows) {
    coordination::RelayAnswer answer;
    answer.outcome = row.outcome;
    answer.retry_after = state::Milliseconds(150);
    const protocol::HttpResponse response = kCodec.EncodeAnswer(answer, "abc");
    CHECK(response.status == row.status);
    CHECK(HeaderValue(response.headers, "Retry-After") ==
          (row.status == 503 ? "0.150" : ""));
  }
}

TEST_CASE("A merged answer carries its signatures and missing parts") {
  coordination::RelayAnswer answer;
  answer.outcome = state::RelayOutcome::kPartial;
  answer.signatures = {"s1", "s2"};
  answer.missing = 3;
  answer.body = std::string(32, 'x');
  const protocol::HttpResponse response = kCodec.EncodeAnswer(answer, "abc");
  CHECK(HeaderValue(response.headers, "Part-Stamps") == "s1, s2");
  CHECK(HeaderValue(response.headers, "Missing-Parts") == "3");
  CHECK(response.body == answer.body);
}

}  // namespace
}  // namespace banyanknot::platform
