#include "banyanknot/transport/backend_http_client.h"

#include <algorithm>
#include <utility>

#include "banyanknot/protocol/backend_codec.h"
#include "transport/backend_failure_of.h"

namespace banyanknot::transport {
namespace {

constexpr state::Duration kCancelTimeout = state::Milliseconds(200);

coordination::BackendResult ToBackendResult(const HttpCallResult& result) {
  if (!state::IsOk(result)) {
    return internal::BackendFailureOf(state::ErrorOf(result));
  }
  state::Result<state::SubReply, protocol::ProtocolError> reply =
      protocol::DecodeSubReply(state::ValueOf(result).body);
  if (!state::IsOk(reply)) return coordination::BackendFailure::kBadReply;
  return state::TakeValue(std::move(reply));
}

}  // namespace

void BackendHttpClient::Send(const state::SubRequest& request,
                             coordination::BackendHandler handler) {
  const state::Duration remaining = request.deadline - this->clock.Now();
  HttpCall call;
  call.request = {"POST", protocol::kSubRequestPath,
                  protocol::EncodeSubRequest(request, remaining)};
  call.send_before = std::min(request.send_before, request.deadline);
  call.deadline = request.deadline;
  call.is_idempotent = request.is_idempotent;
  call.max_response_bytes = protocol::kMaxSubReplyBytes;
  this->pools.Of(request.server, request.endpoint)
      .requests->Call(std::move(call), [handler = std::move(handler)](
                                           const HttpCallResult& result) {
        handler(ToBackendResult(result));
      });
}

void BackendHttpClient::Cancel(const state::SubRequest& request) {
  HttpCall call;
  call.request = {"POST", protocol::kCancelPath,
                  protocol::EncodeCancel(request)};
  call.deadline = this->clock.Now() + kCancelTimeout;
  call.send_before = call.deadline;
  this->pools.Of(request.server, request.endpoint)
      .control->Call(std::move(call), [](const HttpCallResult& /*result*/) {});
}

}  // namespace banyanknot::transport
