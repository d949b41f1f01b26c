#ifndef BANYANKNOT_SRC_TRANSPORT_POOL_CORE_H_
#define BANYANKNOT_SRC_TRANSPORT_POOL_CORE_H_

#include <cstddef>
#include <deque>
#include <memory>
#include <mutex>
#include <vector>

#include "transport/pending_call.h"

namespace banyanknot::transport::internal {

class ClientConnection;

/// \brief The shared state of an HttpConnectionPool and its connections.
///
/// Thread-safe. Each open connection occupies one of `limits.max_open` slots,
/// except a silent one that has released its slot to a new connection.
/// Connections call back on their strands, never with the mutex held.
class PoolCore : public std::enable_shared_from_this<PoolCore> {
 public:
  PoolCore(boost::asio::io_context& context, const coordination::Clock& clock,
           state::Endpoint endpoint, HttpPoolOptions options);

  /// \brief Assigns the call to an idle or a new connection, or queues it. Its
  /// handler gets kLimit if the queue is full.
  void Call(std::shared_ptr<PendingCall> pending);
  void Cancel(const std::shared_ptr<PendingCall>& pending);
  void SetLimits(ConnectionLimits limits);
  std::size_t OpenConnections() const;
  void Shutdown();

  /// \brief Returns a connection to the pool after its call or check.
  /// \returns the next queued call for it; null if the connection becomes idle
  ///     or is closed
  std::shared_ptr<PendingCall> OnCallFinished(
      const std::shared_ptr<ClientConnection>& connection);

  /// \brief Handles the close of a connection.
  /// \param was_silent whether it had released its slot
  void OnClosed(bool was_silent);

  /// \brief Releases the slot of a connection whose call, written at
  /// `written_at`, exceeded the silence timeout.
  /// \returns false if the slot is kept: no other connection got a reply since,
  ///     or too many silent connections are open
  bool TryReleaseSlot(state::TimePoint written_at);

  /// \brief Acquires a slot again for a silent connection that got a reply.
  /// \returns false if none is free; the connection must then be closed
  bool TryReacquireSlot();

  /// \brief Removes a connection from the idle ones.
  /// \returns false if it is no longer idle
  bool RemoveIdle(const std::shared_ptr<ClientConnection>& connection);

  /// \brief Returns the idle lifetime of a connection that becomes idle now.
  state::Duration IdleLifetime() const;

  /// \brief Records that the server replied on any connection.
  void RecordReply(state::TimePoint now);

  /// \brief Tells whether a connection other than the caller's holds a slot.
  bool HasOtherConnections() const;

  boost::asio::io_context& context;
  const coordination::Clock& clock;
  const state::Endpoint endpoint;
  const HttpPoolOptions options;

 private:
  std::shared_ptr<ClientConnection> PopRecentlyActive();
  std::shared_ptr<ClientConnection> AcquireOrEnqueue(
      const std::shared_ptr<PendingCall>& pending, bool& is_queued);
  void StartNextQueued();
  void CheckStaleIdle();
  void ScheduleExpiry(const std::shared_ptr<PendingCall>& pending);
  void Expire(const std::shared_ptr<PendingCall>& pending);
  bool RemoveQueued(const std::shared_ptr<PendingCall>& pending);

  mutable std::mutex mutex;
  ConnectionLimits limits;
  bool is_shut_down = false;
  std::size_t slots_in_use = 0;
  std::size_t silent_connections = 0;  // open, slot released
  state::TimePoint last_reply_at;
  std::vector<std::shared_ptr<ClientConnection>> idle;  // newest last
  std::deque<std::shared_ptr<PendingCall>> queue;
};

}  // namespace banyanknot::transport::internal

#endif  // BANYANKNOT_SRC_TRANSPORT_POOL_CORE_H_
