#include "host_balancer.h"

#include <utility>

namespace banyanknot::standins {
namespace {

constexpr unsigned kHttpOk = 200;
constexpr state::Duration kReadyTimeout = state::Milliseconds(500);

bool IsUnsent(const transport::HttpCallResult& result) {
  if (state::IsOk(result)) return false;
  const transport::TransportError error = state::ErrorOf(result);
  return error == transport::TransportError::kConnect ||
         error == transport::TransportError::kLimit;
}

}  // namespace

HostBalancer::HostBalancer(boost::asio::io_context& context,
                           const coordination::Clock& clock,
                           coordination::TimerService& timers,
                           const std::vector<state::Endpoint>& hosts,
                           std::size_t connections_per_host,
                           state::Duration ready_poll)
    : clock(clock), timers(timers), ready_poll(ready_poll) {
  for (const state::Endpoint& endpoint : hosts) {
    this->hosts.push_back(std::make_unique<Host>());
    this->hosts.back()->pool = std::make_unique<transport::HttpConnectionPool>(
        context, clock, endpoint, connections_per_host);
  }
}

void HostBalancer::Start() {
  for (const std::unique_ptr<Host>& host : this->hosts) this->Poll(*host);
}

void HostBalancer::Stop() {
  this->is_stopped = true;
  for (const std::unique_ptr<Host>& host : this->hosts) host->pool->Shutdown();
}

std::size_t HostBalancer::ReadyHosts() const {
  std::size_t count = 0;
  for (const std::unique_ptr<Host>& host : this->hosts) {
    if (host->is_ready) ++count;
  }
  return count;
}

void HostBalancer::Poll(Host& host) {
  if (this->is_stopped) return;
  transport::HttpCall call(transport::AcceptAnyResponse);
  call.request = {"GET", "/ready", ""};
  call.deadline = this->clock.Now() + kReadyTimeout;
  call.send_before = call.deadline;
  host.pool->Call(
      std::move(call), [self = this->shared_from_this(),
                        &host](const transport::HttpCallResult& result) {
        host.is_ready =
            state::IsOk(result) && state::ValueOf(result).status == kHttpOk;
        self->timers.RunAt(self->clock.Now() + self->ready_poll,
                           [self, &host] { self->Poll(host); });
      });
}

HostBalancer::Host* HostBalancer::Next(std::size_t attempt, std::size_t start) {
  std::size_t skipped = 0;
  for (std::size_t index = 0; index < this->hosts.size(); ++index) {
    Host& host = *this->hosts[(start + index) % this->hosts.size()];
    if (host.is_ready && skipped++ == attempt) return &host;
  }
  return nullptr;
}

void HostBalancer::Call(transport::HttpCall call,
                        transport::HttpCallHandler handler) {
  this->Try(0, this->next.fetch_add(1), std::move(call), std::move(handler));
}

void HostBalancer::Try(std::size_t attempt, std::size_t start,
                       transport::HttpCall call,
                       transport::HttpCallHandler handler) {
  Host* host = this->Next(attempt, start);
  if (host == nullptr) {
    this->timers.RunAt(this->clock.Now(), [handler = std::move(handler)] {
      handler(transport::TransportError::kConnect);
    });
    return;
  }
  transport::HttpCall sent = call;
  host->pool->Call(
      std::move(sent),
      [self = this->shared_from_this(), attempt, start, call = std::move(call),
       handler = std::move(handler)](transport::HttpCallResult result) {
        if (IsUnsent(result)) {
          self->Try(attempt + 1, start, call, handler);
        } else {
          handler(std::move(result));
        }
      });
}

}  // namespace banyanknot::standins
