#include "banyanknot/transport/backend_pools.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "banyanknot/protocol/backend_codec.h"

namespace banyanknot::transport {
namespace {

constexpr std::size_t kMaxQueuedSubRequests = 256;
constexpr std::size_t kMaxQueuedControlCalls = 64;
/// Of all backend servers' unfinished replies together.
constexpr std::size_t kMaxReceivingBytes = 64u << 20;
constexpr state::Duration kControlIdleLifetime = state::Milliseconds(500);
constexpr state::Duration kSilenceDetectionOff =
    state::Milliseconds(86'400'000);

std::string KeyOf(const state::ServerId& server,
                  const state::Endpoint& endpoint) {
  return server.Text() + "@" + ToText(endpoint);
}

/// At least 1: calls in flight to a server that is no longer listed still get a
/// connection.
ConnectionLimits ToLimits(const coordination::ConnectionShare& share) {
  return {std::max<std::size_t>(1, share.max_open),
          std::max<std::size_t>(1, share.max_idle)};
}

HttpPoolOptions ControlOptions(const std::string& connect_from,
                               std::shared_ptr<ReceiveBudget> budget) {
  HttpPoolOptions options;
  options.receive_budget = std::move(budget);
  options.max_queued_calls = kMaxQueuedControlCalls;
  options.idle_lifetime = kControlIdleLifetime;
  options.connect_from = connect_from;
  return options;
}

}  // namespace

BackendPools::BackendPools(boost::asio::io_context& context,
                           const coordination::Clock& clock,
                           const coordination::ConnectionShares& shares,
                           coordination::ServerConnectionListener& listener,
                           ConnectionChecks checks, std::string connect_from)
    : context(context),
      clock(clock),
      shares(shares),
      listener(listener),
      checks(checks),
      connect_from(std::move(connect_from)),
      receive_budget(std::make_shared<ReceiveBudget>(kMaxReceivingBytes)) {}

ServerPools BackendPools::Of(const state::ServerId& server,
                             const state::Endpoint& endpoint) {
  const std::string key = KeyOf(server, endpoint);
  const std::optional<Entry> found = this->entries.Find(key);
  if (found) return found->pools;
  const ServerPools opened = this->Open(server, endpoint);
  return this->entries.Update(key, [&](Entry& entry) {
    if (entry.pools.requests == nullptr) entry = {server, endpoint, opened};
    return entry.pools;
  });
}

ServerPools BackendPools::Open(const state::ServerId& server,
                               const state::Endpoint& endpoint) const {
  HttpPoolOptions options;
  options.limits = ToLimits(this->shares.Of(server, endpoint));
  options.max_queued_calls = kMaxQueuedSubRequests;
  options.connect_from = this->connect_from;
  options.receive_budget = this->receive_budget;
  if (this->checks == ConnectionChecks::kSilent) {
    options.check_target = protocol::kHealthPath;
  } else {
    options.silence_timeout = kSilenceDetectionOff;
  }
  options.on_closed_by_server = [&listener = this->listener,
                                 server](state::Duration idle_for) {
    listener.OnClosedByServer(server, idle_for);
  };
  return {std::make_shared<HttpConnectionPool>(this->context, this->clock,
                                               endpoint, std::move(options)),
          std::make_shared<HttpConnectionPool>(
              this->context, this->clock, endpoint,
              ControlOptions(this->connect_from, this->receive_budget))};
}

void BackendPools::ApplyShares() {
  std::vector<Entry> all;
  this->entries.ForEach([&all](const std::string& /*key*/, const Entry& entry) {
    all.push_back(entry);
  });
  for (const Entry& entry : all) {
    const coordination::ConnectionShare share =
        this->shares.Of(entry.server, entry.endpoint);
    if (share.max_open > 0) {
      entry.pools.requests->SetLimits(ToLimits(share));
      continue;
    }
    this->entries.Take(KeyOf(entry.server, entry.endpoint));
    entry.pools.requests->Shutdown();
    entry.pools.control->Shutdown();
  }
}

std::size_t BackendPools::OpenConnections(const state::ServerId& server,
                                          const state::Endpoint& endpoint) {
  const std::optional<Entry> found =
      this->entries.Find(KeyOf(server, endpoint));
  return found ? found->pools.requests->OpenConnections() : 0;
}

}  // namespace banyanknot::transport
