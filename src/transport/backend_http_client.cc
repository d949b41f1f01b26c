#include "banyanknot/transport/backend_http_client.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <utility>

#include "banyanknot/protocol/backend_codec.h"
#include "transport/backend_failure_of.h"

namespace banyanknot::transport {
namespace {

constexpr state::Duration kCancelTimeout = state::Milliseconds(200);
/// Nothing is read from the response to a cancellation.
constexpr std::size_t kMaxCancelResponseBytes = 4u << 10;

using DecodedReply = std::optional<coordination::BackendResult>;

coordination::BackendResult DecodeReply(
    const protocol::HttpResponse& response) {
  state::Result<state::SubReply, protocol::ProtocolError> reply =
      protocol::DecodeSubReply(response.body);
  if (!state::IsOk(reply)) return coordination::BackendFailure::kBadReply;
  return state::TakeValue(std::move(reply));
}

}  // namespace

void BackendHttpClient::Send(const state::SubRequest& request,
                             coordination::BackendHandler handler) {
  const state::Duration remaining = request.deadline - this->clock.Now();
  // Decoded once: first to see whether it belongs to this call.
  const std::shared_ptr<DecodedReply> decoded =
      std::make_shared<DecodedReply>();
  HttpCall call([decoded, id = request.request, attempt = request.attempt](
                    const protocol::HttpResponse& response) {
    *decoded = DecodeReply(response);
    if (!state::IsOk(**decoded)) return true;
    const state::SubReply& reply = state::ValueOf(**decoded);
    return reply.request == id && reply.attempt == attempt;
  });
  call.request = {"POST", protocol::kSubRequestPath,
                  protocol::EncodeSubRequest(request, remaining)};
  call.send_before = std::min(request.send_before, request.deadline);
  call.deadline = request.deadline;
  call.is_idempotent = request.is_idempotent;
  call.max_response_bytes = protocol::kMaxSubReplyBytes;
  this->pools.Of(request.server, request.endpoint)
      .requests->Call(std::move(call), [decoded, handler = std::move(handler)](
                                           const HttpCallResult& result) {
        if (state::IsOk(result)) {
          handler(std::move(**decoded));
        } else {
          handler(internal::BackendFailureOf(state::ErrorOf(result)));
        }
      });
}

void BackendHttpClient::Cancel(const state::SubRequest& request) {
  HttpCall call(AcceptAnyResponse);
  call.request = {"POST", protocol::kCancelPath,
                  protocol::EncodeCancel(request)};
  call.deadline = this->clock.Now() + kCancelTimeout;
  call.send_before = call.deadline;
  call.max_response_bytes = kMaxCancelResponseBytes;
  this->pools.Of(request.server, request.endpoint)
      .control->Call(std::move(call), [](const HttpCallResult& /*result*/) {});
}

}  // namespace banyanknot::transport
