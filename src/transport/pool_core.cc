#include "transport/pool_core.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <utility>

#include "banyanknot/state/util/assert.h"
#include "transport/client_connection.h"

namespace banyanknot::transport::internal {

namespace asio = boost::asio;

PoolCore::PoolCore(asio::io_context& context, const coordination::Clock& clock,
                   state::Endpoint endpoint, HttpPoolOptions options)
    : context(context),
      clock(clock),
      endpoint(std::move(endpoint)),
      options(std::move(options)),
      limits(this->options.limits) {
  BANYANKNOT_ASSERT(this->limits.max_open > 0, "max_open must be at least 1");
}

void PoolCore::Call(std::shared_ptr<PendingCall> pending) {
  bool is_queued = false;
  const std::shared_ptr<ClientConnection> connection =
      this->AcquireOrEnqueue(pending, is_queued);
  if (connection != nullptr) {
    connection->StartCall(std::move(pending));
    this->CheckStaleIdle();
  } else if (is_queued) {
    this->ScheduleExpiry(pending);
  } else {
    asio::post(this->context, [pending = std::move(pending)] {
      pending->handler(TransportError::kLimit);
    });
  }
}

std::shared_ptr<ClientConnection> PoolCore::AcquireOrEnqueue(
    const std::shared_ptr<PendingCall>& pending, bool& is_queued) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::shared_ptr<ClientConnection> connection = this->PopRecentlyActive();
  if (connection != nullptr) return connection;
  if (this->slots_in_use < this->limits.max_open) {
    ++this->slots_in_use;
    return std::make_shared<ClientConnection>(this->shared_from_this());
  }
  if (!this->idle.empty()) {
    connection = std::move(this->idle.back());
    this->idle.pop_back();
    return connection;  // sends a check before the call
  }
  if (this->queue.size() < this->options.max_queued_calls) {
    this->queue.push_back(pending);
    is_queued = true;
  }
  return nullptr;
}

std::shared_ptr<ClientConnection> PoolCore::PopRecentlyActive() {
  if (this->idle.empty()) return nullptr;
  if (!this->idle.back()->IsRecentlyActive(this->clock.Now())) return nullptr;
  std::shared_ptr<ClientConnection> connection = std::move(this->idle.back());
  this->idle.pop_back();
  return connection;
}

void PoolCore::CheckStaleIdle() {
  std::shared_ptr<ClientConnection> stale;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->idle.empty()) return;
    if (this->idle.front()->IsRecentlyActive(this->clock.Now())) return;
    stale = std::move(this->idle.front());
    this->idle.erase(this->idle.begin());
  }
  stale->Check();
}

void PoolCore::ScheduleExpiry(const std::shared_ptr<PendingCall>& pending) {
  const std::shared_ptr<asio::steady_timer> timer =
      std::make_shared<asio::steady_timer>(this->context,
                                           pending->call.send_before);
  timer->async_wait([self = this->shared_from_this(), timer,
                     weak = std::weak_ptr<PendingCall>(pending)](
                        const boost::system::error_code& error) {
    const std::shared_ptr<PendingCall> queued_call = weak.lock();
    if (!error && queued_call != nullptr) self->Expire(queued_call);
  });
}

bool PoolCore::RemoveQueued(const std::shared_ptr<PendingCall>& pending) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto found = std::find(this->queue.begin(), this->queue.end(), pending);
  if (found == this->queue.end()) return false;
  this->queue.erase(found);
  return true;
}

void PoolCore::Expire(const std::shared_ptr<PendingCall>& pending) {
  if (this->RemoveQueued(pending)) pending->handler(TransportError::kLimit);
}

void PoolCore::Cancel(const std::shared_ptr<PendingCall>& pending) {
  pending->is_cancelled = true;
  if (this->RemoveQueued(pending)) {
    asio::post(this->context,
               [pending] { pending->handler(TransportError::kExpired); });
    return;
  }
  const std::shared_ptr<ClientConnection> connection = pending->Connection();
  if (connection != nullptr) connection->CancelCall(pending);
}

std::shared_ptr<PendingCall> PoolCore::OnCallFinished(
    const std::shared_ptr<ClientConnection>& connection) {
  bool close = false;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    close = this->is_shut_down || this->slots_in_use > this->limits.max_open;
    if (!close && !this->queue.empty()) {
      std::shared_ptr<PendingCall> next = std::move(this->queue.front());
      this->queue.pop_front();
      return next;
    }
    if (!close) this->idle.push_back(connection);
  }
  if (close) connection->Close();
  return nullptr;
}

void PoolCore::OnClosed(bool was_silent) {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    --(was_silent ? this->silent_connections : this->slots_in_use);
  }
  this->StartNextQueued();
}

void PoolCore::StartNextQueued() {
  std::shared_ptr<PendingCall> next;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->queue.empty() || this->slots_in_use >= this->limits.max_open) {
      return;
    }
    next = std::move(this->queue.front());
    this->queue.pop_front();
  }
  this->Call(std::move(next));
}

bool PoolCore::TryReleaseSlot(state::TimePoint written_at) {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    const bool others_answer =
        this->slots_in_use == 1 || this->last_reply_at > written_at;
    if (!others_answer || this->silent_connections >= this->limits.max_open) {
      return false;
    }
    --this->slots_in_use;
    ++this->silent_connections;
  }
  this->StartNextQueued();
  return true;
}

bool PoolCore::TryReacquireSlot() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (this->slots_in_use >= this->limits.max_open) return false;
  --this->silent_connections;
  ++this->slots_in_use;
  return true;
}

bool PoolCore::RemoveIdle(const std::shared_ptr<ClientConnection>& connection) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto found =
      std::find(this->idle.begin(), this->idle.end(), connection);
  if (found == this->idle.end()) return false;
  this->idle.erase(found);
  return true;
}

void PoolCore::RecordReply(state::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->last_reply_at = std::max(this->last_reply_at, now);
}

bool PoolCore::HasOtherConnections() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->slots_in_use > 1;
}

std::size_t PoolCore::OpenConnections() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->slots_in_use + this->silent_connections;
}

void PoolCore::SetLimits(ConnectionLimits limits) {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    const bool has_grown = limits.max_open > this->limits.max_open;
    this->limits = limits;
    if (!has_grown) return;
  }
  this->StartNextQueued();
}

state::Duration PoolCore::IdleLifetime() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->slots_in_use > this->limits.max_idle
             ? this->options.spare_lifetime
             : this->options.idle_lifetime;
}

void PoolCore::Shutdown() {
  std::vector<std::shared_ptr<ClientConnection>> closing;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->is_shut_down = true;
    closing.swap(this->idle);
  }
  for (const std::shared_ptr<ClientConnection>& connection : closing) {
    connection->Close();
  }
}

}  // namespace banyanknot::transport::internal
