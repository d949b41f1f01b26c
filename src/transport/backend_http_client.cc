#include "banyanknot/transport/backend_http_client.h"

#include <algorithm>
#include <utility>

#include "banyanknot/protocol/backend_codec.h"

namespace banyanknot::transport {
namespace {

constexpr state::Duration kCancelTimeout = state::Milliseconds(200);

coordination::BackendFailure ToBackendFailure(TransportError error) {
  switch (error) {
    case TransportError::kLimit:
      return coordination::BackendFailure::kConnectionLimit;
    case TransportError::kExpired:
      return coordination::BackendFailure::kExpired;
    case TransportError::kTimeout:
      return coordination::BackendFailure::kTimeout;
    case TransportError::kLost:
    case TransportError::kTooLarge:
      return coordination::BackendFailure::kLost;
    case TransportError::kResolve:
    case TransportError::kListen:
    case TransportError::kConnect:
    case TransportError::kClosed:
      return coordination::BackendFailure::kNotSent;
  }
  return coordination::BackendFailure::kLost;
}

coordination::BackendResult ToBackendResult(const HttpCallResult& result) {
  if (!state::IsOk(result)) return ToBackendFailure(state::ErrorOf(result));
  state::Result<state::SubReply, protocol::ProtocolError> reply =
      protocol::DecodeSubReply(state::ValueOf(result).body);
  if (!state::IsOk(reply)) return coordination::BackendFailure::kBadReply;
  return state::TakeValue(std::move(reply));
}

}  // namespace

BackendHttpClient::BackendHttpClient(boost::asio::io_context& context,
                                     const coordination::Clock& clock,
                                     std::size_t max_connections)
    : context(context), clock(clock), max_connections(max_connections) {}

std::shared_ptr<HttpConnectionPool> BackendHttpClient::PoolOf(
    const state::SubRequest& request) {
  return this->pools.Update(
      ToText(request.endpoint),
      [this, &request](std::shared_ptr<HttpConnectionPool>& pool) {
        if (pool == nullptr) {
          pool = std::make_shared<HttpConnectionPool>(
              this->context, this->clock, request.endpoint,
              this->max_connections);
        }
        return pool;
      });
}

void BackendHttpClient::Send(const state::SubRequest& request,
                             coordination::BackendHandler handler) {
  const state::Duration remaining = request.deadline - this->clock.Now();
  HttpCall call;
  call.request = {"POST", protocol::kSubRequestPath,
                  protocol::EncodeSubRequest(request, remaining)};
  call.send_before = std::min(request.send_before, request.deadline);
  call.deadline = request.deadline;
  this->PoolOf(request)->Call(
      std::move(call),
      [handler = std::move(handler)](const HttpCallResult& result) {
        handler(ToBackendResult(result));
      });
}

void BackendHttpClient::Cancel(const state::SubRequest& request) {
  HttpCall call;
  call.request = {"POST", protocol::kCancelPath,
                  protocol::EncodeCancel(request)};
  call.deadline = this->clock.Now() + kCancelTimeout;
  call.send_before = call.deadline;
  this->PoolOf(request)->Call(std::move(call),
                              [](const HttpCallResult& /*result*/) {});
}

}  // namespace banyanknot::transport
