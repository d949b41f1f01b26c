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
/// Thread-safe. Functions named On... are called by connections on their
/// strands, never with the mutex held.
class PoolCore : public std::enable_shared_from_this<PoolCore> {
 public:
  PoolCore(boost::asio::io_context& context, const coordination::Clock& clock,
           state::Endpoint endpoint, HttpPoolOptions options);

  /// \brief Hands the call to a connection, a new one, or the queue.
  void Call(std::shared_ptr<PendingCall> pending);
  void Cancel(const std::shared_ptr<PendingCall>& pending);
  void SetLimits(ConnectionLimits limits);
  std::size_t OpenConnections() const;
  void Shutdown();

  /// \brief Takes a connection whose call is done.
  /// \returns the next call to carry; null if the connection now idles or is
  ///     to be closed
  std::shared_ptr<PendingCall> OnCallFinished(
      const std::shared_ptr<ClientConnection>& connection);

  /// \brief A connection closed; `was_silent` if it had given up its place.
  void OnClosed(bool was_silent);

  /// \brief A call stays unanswered since `written_at`.
  /// \returns true if its connection gives its place to a new one
  bool TryReleaseSlot(state::TimePoint written_at);

  /// \brief A silent connection answered after all.
  /// \returns true if it got a place back; otherwise it is to be closed
  bool TryReacquireSlot();

  /// \brief Takes an idle connection away.
  /// \returns false if it is not idle any more
  bool RemoveIdle(const std::shared_ptr<ClientConnection>& connection);

  /// \brief How long a connection that becomes idle now may stay so.
  state::Duration IdleLifetime() const;

  /// \brief Notes that the server answered on some connection.
  void RecordReply(state::TimePoint now);

  /// \brief Tells whether another connection is open beside the asking one.
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
  std::size_t slots_in_use = 0;        // connections that hold a place
  std::size_t silent_connections = 0;  // connections that gave up theirs
  state::TimePoint last_reply_at;
  std::vector<std::shared_ptr<ClientConnection>> idle;  // latest used last
  std::deque<std::shared_ptr<PendingCall>> queue;
};

}  // namespace banyanknot::transport::internal

#endif  // BANYANKNOT_SRC_TRANSPORT_POOL_CORE_H_
