#include "banyanknot/transport/platform_http_client.h"

#include <utility>

#include "banyanknot/protocol/platform_codec.h"

namespace banyanknot::transport {
namespace {

constexpr std::size_t kPlatformConnections = 4;
constexpr state::Duration kReadTimeout = state::Milliseconds(1'000);
constexpr unsigned kHttpOk = 200;

coordination::CoordinationError ToCoordinationError(TransportError error) {
  return error == TransportError::kTimeout
             ? coordination::CoordinationError::kTimeout
             : coordination::CoordinationError::kUnavailable;
}

/// Decodes a response with `decode`; maps transport and protocol errors.
template <typename Message, typename Decode>
state::Result<Message, coordination::CoordinationError> DecodeResponse(
    const HttpCallResult& result, Decode decode) {
  if (!state::IsOk(result)) return ToCoordinationError(state::ErrorOf(result));
  const protocol::HttpResponse& response = state::ValueOf(result);
  if (response.status != kHttpOk) {
    return coordination::CoordinationError::kRejected;
  }
  state::Result<Message, protocol::ProtocolError> decoded =
      decode(response.body);
  if (!state::IsOk(decoded)) {
    return coordination::CoordinationError::kMalformed;
  }
  return state::TakeValue(std::move(decoded));
}

HttpPoolOptions OptionsOf(const std::string& connect_from) {
  HttpPoolOptions options = HttpPoolOptions::Unchecked(kPlatformConnections);
  options.connect_from = connect_from;
  return options;
}

HttpCallHandler UpdateHandler(coordination::RawUpdateHandler handler) {
  return [handler = std::move(handler)](const HttpCallResult& result) {
    handler(DecodeResponse<coordination::RawUpdate>(result,
                                                    protocol::DecodeUpdate));
  };
}

}  // namespace

PlatformHttpClient::PlatformHttpClient(boost::asio::io_context& context,
                                       const coordination::Clock& clock,
                                       const state::Endpoint& platform,
                                       const std::string& connect_from)
    : clock(clock), pool(context, clock, platform, OptionsOf(connect_from)) {}

void PlatformHttpClient::Get(const std::string& target, state::Duration timeout,
                             HttpCallHandler handler) {
  HttpCall call(AcceptAnyResponse);
  call.request = {"GET", target, ""};
  call.deadline = this->clock.Now() + timeout;
  call.send_before = call.deadline;
  this->pool.Call(std::move(call), std::move(handler));
}

void PlatformHttpClient::Read(std::uint64_t since,
                              coordination::RawUpdateHandler handler) {
  this->Get(
      std::string(protocol::kEntriesPath) + "?since=" + std::to_string(since),
      kReadTimeout, UpdateHandler(std::move(handler)));
}

void PlatformHttpClient::Watch(std::uint64_t since, state::Duration wait,
                               coordination::RawUpdateHandler handler) {
  this->Get(std::string(protocol::kEntriesPath) +
                "?since=" + std::to_string(since) +
                "&wait_ms=" + std::to_string(state::ToMilliseconds(wait)),
            wait + kReadTimeout, UpdateHandler(std::move(handler)));
}

void PlatformHttpClient::ReadHosts(coordination::HostListHandler handler) {
  this->Get(protocol::kHostsPath, kReadTimeout,
            [handler = std::move(handler)](const HttpCallResult& result) {
              handler(DecodeResponse<std::vector<state::ListedHost>>(
                  result, protocol::DecodeHostList));
            });
}

}  // namespace banyanknot::transport
