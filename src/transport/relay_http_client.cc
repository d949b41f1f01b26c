#include "banyanknot/transport/relay_http_client.h"

#include <algorithm>
#include <utility>

#include "transport/pooled_call.h"

namespace banyanknot::transport {
namespace {

/// Exceeds any concurrency limit of the coordination layer, so that the pool
/// never queues.
constexpr std::size_t kMaxConnectionsPerServer = 64;
/// Servers may announce shorter ones.
constexpr state::Duration kIdleLifetime = state::Milliseconds(20'000);
/// Added to the deadline sent to the server, so that the coordination layer's
/// own timeout fires first.
constexpr state::Duration kDeadlineSlack = state::Milliseconds(80);
/// A server that takes longer to accept is unreachable or has a full accept
/// queue.
constexpr state::Duration kConnectTimeout = state::Milliseconds(250);
constexpr std::size_t kMaxHealthBytes = 64u << 10;
/// Several times the product of bandwidth and round-trip time within a site.
constexpr int kReceiveBufferBytes = 128 << 10;
constexpr state::Duration kSilenceDetectionOff = state::Milliseconds(3'600'000);

std::string KeyOf(const state::InstanceId& server,
                  const state::Endpoint& endpoint) {
  return server.Text() + "@" + ToText(endpoint);
}

coordination::RelayFailure FailureOf(TransportError error) {
  switch (error) {
    case TransportError::kConnect:
    case TransportError::kResolve:
    case TransportError::kExpired:
      return coordination::RelayFailure::kNotSent;
    case TransportError::kLimit:
      return coordination::RelayFailure::kLimit;
    case TransportError::kWithdrawn:
      return coordination::RelayFailure::kWithdrawn;
    case TransportError::kMisplaced:
      return coordination::RelayFailure::kMisplaced;
    case TransportError::kTimeout:
      return coordination::RelayFailure::kTimeout;
    default:
      return coordination::RelayFailure::kLost;
  }
}

}  // namespace

RelayHttpClient::RelayHttpClient(boost::asio::io_context& context,
                                 const coordination::Clock& clock,
                                 const protocol::RelayCodec& codec,
                                 std::shared_ptr<ReceiveBudget> receive_budget,
                                 coordination::EventLog& log)
    : context(context),
      clock(clock),
      codec(codec),
      receive_budget(std::move(receive_budget)),
      log(log) {}

RelayHttpClient::PoolPtr RelayHttpClient::PoolOf(
    const state::InstanceId& server, const state::Endpoint& endpoint) {
  return this->pools.Update(KeyOf(server, endpoint), [&](PoolPtr& pool) {
    if (pool == nullptr) {
      HttpPoolOptions options;
      options.limits = {kMaxConnectionsPerServer, kMaxConnectionsPerServer};
      options.idle_lifetime = kIdleLifetime;
      options.silence_timeout = kSilenceDetectionOff;
      // Saves a wait and its cancellation for each request.
      options.watches_idle = false;
      options.receive_budget = this->receive_budget;
      options.receive_buffer_bytes = kReceiveBufferBytes;
      options.on_misplaced_response = [this, server] {
        ++this->misplaced_responses;
        this->log.Write(coordination::EventCode::kResponseMisplaced,
                        {{"server", server.Text()}});
      };
      options.on_malformed_response = [this, server](const std::string& fault) {
        ++this->malformed_responses;
        this->log.Write(coordination::EventCode::kResponseMalformed,
                        {{"server", server.Text()}, {"fault", fault}});
      };
      pool = std::make_shared<HttpConnectionPool>(this->context, this->clock,
                                                  endpoint, std::move(options));
    }
    return pool;
  });
}

std::shared_ptr<coordination::RelayCall> RelayHttpClient::Send(
    coordination::RelaySend send, coordination::RelayHandler handler) {
  const state::TimePoint now = this->clock.Now();
  HttpCall call(
      [this, id = send.request->id](const protocol::HttpResponse& response) {
        return this->codec.IsReplyTo(response, id);
      });
  call.request = this->codec.EncodeSend(send, send.deadline - now);
  call.send_before = std::min(send.deadline, now + kConnectTimeout);
  call.deadline = send.deadline + kDeadlineSlack;
  call.is_idempotent = send.is_idempotent;
  call.max_response_bytes = send.max_reply_bytes;
  call.may_write = [this, notices = send.notices] {
    return notices->AcceptsRequests(this->clock.Now());
  };
  const PoolPtr pool = this->PoolOf(send.server, send.endpoint);
  HttpCallHandle handle = pool->Call(
      std::move(call), [this, notices = send.notices,
                        handler = std::move(handler)](HttpCallResult result) {
        if (!state::IsOk(result)) {
          handler(FailureOf(state::ErrorOf(result)));
          return;
        }
        coordination::RelayReply reply =
            this->codec.DecodeReply(state::TakeValue(std::move(result)));
        notices->OnNotice(reply.notice, this->clock.Now());
        handler(std::move(reply));
      });
  return std::make_shared<internal::PooledCall>(pool, std::move(handle));
}

void RelayHttpClient::CheckHealth(coordination::HealthCheck check,
                                  coordination::ServerHealthHandler handler) {
  HttpCall call([this](const protocol::HttpResponse& response) {
    return this->codec.IsHealthResponse(response);
  });
  call.request = this->codec.EncodeHealthCheck(check.endpoint, check.path);
  call.deadline = this->clock.Now() + check.timeout;
  call.send_before = call.deadline;
  call.max_response_bytes = kMaxHealthBytes;
  call.may_write = [this, notices = check.notices] {
    return notices->AcceptsRequests(this->clock.Now());
  };
  this->PoolOf(check.server, check.endpoint)
      ->Call(std::move(call),
             [this, notices = check.notices,
              handler = std::move(handler)](const HttpCallResult& result) {
               if (!state::IsOk(result)) {
                 handler(std::nullopt);
                 return;
               }
               const coordination::ServerHealth health =
                   this->codec.DecodeHealth(state::ValueOf(result));
               notices->OnNotice(health.notice, this->clock.Now());
               handler(health);
             });
}

void RelayHttpClient::CollectMetrics(
    std::vector<coordination::MetricSample>& samples) const {
  samples.push_back({"banyanknot_relay_misplaced_responses_total",
                     "Responses of servers that belonged to no open request.",
                     coordination::MetricKind::kCounter,
                     {},
                     static_cast<double>(this->misplaced_responses)});
  samples.push_back({"banyanknot_relay_malformed_responses_total",
                     "Responses of servers that can't be final ones.",
                     coordination::MetricKind::kCounter,
                     {},
                     static_cast<double>(this->malformed_responses)});
}

void RelayHttpClient::CloseConnections(const state::InstanceId& server,
                                       const state::Endpoint& endpoint) {
  const PoolPtr pool =
      this->pools.Take(KeyOf(server, endpoint)).value_or(nullptr);
  if (pool != nullptr) pool->Shutdown();
}

}  // namespace banyanknot::transport
