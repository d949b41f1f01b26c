#include "banyanknot/transport/host_http_link.h"

#include <algorithm>
#include <utility>

#include "banyanknot/protocol/fleet_codec.h"
#include "banyanknot/protocol/hop_headers.h"
#include "transport/pooled_call.h"

namespace banyanknot::transport {
namespace {

constexpr std::size_t kMaxConnectionsPerHost = 16;
constexpr std::size_t kMaxAnswerBytes = 1u << 20;
constexpr state::Duration kIdleLifetime = state::Milliseconds(10'000);
/// Hosts of one failure domain are a fraction of a millisecond apart; one that
/// takes longer is gone or too busy to help.
constexpr state::Duration kConnectTimeout = state::Milliseconds(25);
constexpr state::Duration kCheckAfterInactivity = state::Milliseconds(2'500);
constexpr state::Duration kCheckTimeout = state::Milliseconds(25);
/// Of an exchange of adverts, also with hosts of other failure domains.
constexpr state::Duration kExchangeTimeout = state::Milliseconds(500);
constexpr state::Duration kSilenceDetectionOff = state::Milliseconds(3'600'000);
/// Beyond the wait that a follower asked for.
constexpr state::Duration kFollowMargin = state::Milliseconds(300);
constexpr state::Duration kSnapshotTimeout = state::Milliseconds(1'000);
constexpr unsigned kHttpOk = 200;
constexpr unsigned kHttpUnavailable = 503;
constexpr unsigned kFirstFailure = 400;

coordination::DelegationFailure FailureOf(TransportError error) {
  switch (error) {
    case TransportError::kConnect:
    case TransportError::kResolve:
    case TransportError::kExpired:
    case TransportError::kLimit:
    case TransportError::kWithdrawn:
      return coordination::DelegationFailure::kUnreachable;
    case TransportError::kTimeout:
      return coordination::DelegationFailure::kTimeout;
    default:
      return coordination::DelegationFailure::kLost;
  }
}

/// Tells whether the other host, or its HTTP layer, refused a gather. Neither
/// names the request; a success that doesn't is that to another call.
bool IsDecline(const protocol::HttpResponse& response) {
  return response.status >= kFirstFailure &&
         protocol::HeaderValue(response.headers, protocol::kGatheredHeader)
             .empty();
}

coordination::DelegationResult ToDelegationResult(
    HttpCallResult result, const protocol::RelayCodec& codec) {
  if (!state::IsOk(result)) return FailureOf(state::ErrorOf(result));
  protocol::HttpResponse response = state::TakeValue(std::move(result));
  // Declined, or refused by the other host's HTTP layer.
  if (protocol::HeaderValue(response.headers, protocol::kGatheredHeader)
          .empty()) {
    return coordination::DelegationFailure::kDeclined;
  }
  protocol::RemoveHeader(response.headers, protocol::kGatheredHeader);
  coordination::RelayReply reply = codec.DecodeReply(std::move(response));
  // A gather's own refusal, since the parts of servers are merged.
  if (reply.status == kHttpUnavailable) reply.is_proven_not_run = true;
  return reply;
}

}  // namespace

HostHttpLink::HostHttpLink(boost::asio::io_context& context,
                           const coordination::Clock& clock,
                           const protocol::RelayCodec& codec,
                           std::shared_ptr<ReceiveBudget> receive_budget)
    : context(context),
      clock(clock),
      codec(codec),
      receive_budget(std::move(receive_budget)) {}

HostHttpLink::PoolPtr HostHttpLink::PoolOf(const state::Endpoint& host) {
  return this->pools.Update(ToText(host), [&](PoolPtr& pool) {
    if (pool == nullptr) {
      HttpPoolOptions options;
      options.limits = {kMaxConnectionsPerHost, kMaxConnectionsPerHost};
      options.max_queued_calls = kMaxConnectionsPerHost;
      options.idle_lifetime = kIdleLifetime;
      options.silence_timeout = kSilenceDetectionOff;
      options.check_target = protocol::kFleetLivePath;
      options.check_after_inactivity = kCheckAfterInactivity;
      options.check_timeout = kCheckTimeout;
      options.watches_idle = false;
      options.receive_budget = this->receive_budget;
      pool = std::make_shared<HttpConnectionPool>(this->context, this->clock,
                                                  host, std::move(options));
    }
    return pool;
  });
}

std::shared_ptr<coordination::RelayCall> HostHttpLink::Delegate(
    const state::Endpoint& host, coordination::DelegatedRequest request,
    coordination::DelegationHandler handler) {
  const state::TimePoint now = this->clock.Now();
  HttpCall call(
      [this, id = request.request->id](const protocol::HttpResponse& response) {
        return this->codec.IsReplyTo(response, id) || IsDecline(response);
      });
  call.request = this->codec.EncodeDelegated(*request.request);
  protocol::AddDelegationHeader(
      {request.routes_version, now - request.request->received_at,
       request.request->outside_time.value_or(state::Duration(0)),
       request.request->workspace, request.request->priority},
      call.request);
  call.send_before = now + kConnectTimeout;
  call.deadline = request.deadline;
  call.max_response_bytes = kMaxAnswerBytes;
  const PoolPtr pool = this->PoolOf(host);
  HttpCallHandle handle =
      pool->Call(std::move(call),
                 [this, handler = std::move(handler)](HttpCallResult result) {
                   handler(ToDelegationResult(std::move(result), this->codec));
                 });
  return std::make_shared<internal::PooledCall>(pool, std::move(handle));
}

void HostHttpLink::ExchangeAdverts(const state::Endpoint& host,
                                   const state::HostAdvert& own,
                                   coordination::AdvertsHandler handler) {
  HttpCall call(AcceptAnyResponse);
  call.request = {"POST", protocol::kAdvertsPath,
                  protocol::EncodeAdverts({own})};
  call.deadline = this->clock.Now() + kExchangeTimeout;
  call.send_before = call.deadline;
  call.max_response_bytes = protocol::kMaxAdvertsBytes;
  this->PoolOf(host)->Call(std::move(call), [handler = std::move(handler)](
                                                const HttpCallResult& result) {
    if (!state::IsOk(result) || state::ValueOf(result).status != kHttpOk) {
      handler(std::nullopt);
      return;
    }
    state::Result<std::vector<state::HostAdvert>, protocol::ProtocolError>
        adverts = protocol::DecodeAdverts(state::ValueOf(result).body);
    if (!state::IsOk(adverts)) {
      handler(std::nullopt);
      return;
    }
    handler(state::TakeValue(std::move(adverts)));
  });
}

void HostHttpLink::AskCredit(const state::Endpoint& host,
                             const coordination::CreditRequest& request,
                             state::Duration timeout,
                             coordination::CreditHandler handler) {
  HttpCall call(AcceptAnyResponse);
  call.request = {"POST", protocol::kCreditPath,
                  protocol::EncodeCreditRequest(request)};
  call.deadline = this->clock.Now() + timeout;
  call.send_before = call.deadline;
  call.max_response_bytes = protocol::kMaxCreditBytes;
  this->PoolOf(host)->Call(std::move(call), [handler = std::move(handler)](
                                                const HttpCallResult& result) {
    if (!state::IsOk(result) || state::ValueOf(result).status != kHttpOk) {
      handler(std::nullopt);
      return;
    }
    const state::Result<coordination::CreditGrant, protocol::ProtocolError>
        grant = protocol::DecodeCreditGrant(state::ValueOf(result).body);
    handler(state::IsOk(grant) ? std::optional<coordination::CreditGrant>(
                                     state::ValueOf(grant))
                               : std::nullopt);
  });
}

void HostHttpLink::GetChanges(const state::Endpoint& host,
                              const std::string& target,
                              state::Duration timeout,
                              coordination::ChangesHandler handler) {
  HttpCall call(AcceptAnyResponse);
  call.request = {"GET", target, ""};
  call.deadline = this->clock.Now() + timeout;
  call.send_before = call.deadline;
  call.max_response_bytes = protocol::kMaxPassedBytes;
  this->PoolOf(host)->Call(std::move(call), [handler = std::move(handler)](
                                                const HttpCallResult& result) {
    if (!state::IsOk(result) || state::ValueOf(result).status != kHttpOk) {
      handler(std::nullopt);
      return;
    }
    state::Result<coordination::PassedChanges, protocol::ProtocolError> passed =
        protocol::DecodePassedChanges(state::ValueOf(result).body);
    if (!state::IsOk(passed)) {
      handler(std::nullopt);
      return;
    }
    handler(state::TakeValue(std::move(passed)));
  });
}

void HostHttpLink::FollowChanges(const state::Endpoint& host,
                                 const state::SourcePosition& after,
                                 state::Duration wait,
                                 coordination::ChangesHandler handler) {
  this->GetChanges(host, protocol::EncodeChangesTarget({false, after, wait}),
                   wait + kFollowMargin, std::move(handler));
}

void HostHttpLink::ReadSnapshot(const state::Endpoint& host,
                                coordination::ChangesHandler handler) {
  this->GetChanges(host, protocol::EncodeChangesTarget({true, {}, {}}),
                   kSnapshotTimeout, std::move(handler));
}

}  // namespace banyanknot::transport
