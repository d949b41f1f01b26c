#include "banyanknot/transport/backend_health_http_client.h"

#include <utility>

#include "banyanknot/protocol/backend_codec.h"
#include "transport/backend_failure_of.h"

namespace banyanknot::transport {
namespace {

constexpr state::Duration kHealthTimeout = state::Milliseconds(500);

coordination::HealthResult ToHealthResult(const HttpCallResult& result) {
  if (!state::IsOk(result)) {
    return internal::BackendFailureOf(state::ErrorOf(result));
  }
  state::Result<state::ServerReport, protocol::ProtocolError> report =
      protocol::DecodeServerReport(state::ValueOf(result).body);
  if (!state::IsOk(report)) return coordination::BackendFailure::kBadReply;
  return state::TakeValue(std::move(report));
}

}  // namespace

void BackendHealthHttpClient::Read(const state::ServerId& server,
                                   const state::Endpoint& endpoint,
                                   coordination::HealthHandler handler) {
  HttpCall call(AcceptAnyResponse);
  call.request = {"GET", protocol::kHealthPath, ""};
  call.deadline = this->clock.Now() + kHealthTimeout;
  call.send_before = call.deadline;
  call.max_response_bytes = protocol::kMaxServerReportBytes;
  this->pools.Of(server, endpoint)
      .control->Call(std::move(call), [handler = std::move(handler)](
                                          const HttpCallResult& result) {
        handler(ToHealthResult(result));
      });
}

}  // namespace banyanknot::transport
