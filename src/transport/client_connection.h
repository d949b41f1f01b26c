#ifndef BANYANKNOT_SRC_TRANSPORT_CLIENT_CONNECTION_H_
#define BANYANKNOT_SRC_TRANSPORT_CLIENT_CONNECTION_H_

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <optional>

#include "transport/pending_call.h"
#include "transport/pool_core.h"
#include "transport/response_reader.h"

namespace banyanknot::transport::internal {

/// \brief One connection of a pool, for one call at a time.
///
/// Everything but StartCall(), CancelCall(), Check(), Close() and LastReplyAt()
/// runs on the connection's strand.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  explicit ClientConnection(std::shared_ptr<PoolCore> pool);

  /// \brief Sends a call; connects or checks the connection first if needed.
  void StartCall(std::shared_ptr<PendingCall> pending);

  /// \brief Cancels a call by closing the connection; no effect if the call is
  /// not on it.
  void CancelCall(const std::shared_ptr<PendingCall>& pending);

  /// \brief Checks an idle connection that was removed from the pool.
  void Check();

  void Close();

  /// \brief Returns the time of the last reply, or of the connect if that was
  /// for an idempotent call. Thread-safe.
  state::TimePoint LastReplyAt() const {
    return state::TimePoint(state::Duration(this->last_reply_at));
  }

  /// \brief Tells whether a call may be sent without a check. Thread-safe.
  bool IsRecentlyActive(state::TimePoint now) const;

 private:
  void BeginCall(std::shared_ptr<PendingCall> pending);
  void Connect();
  void OnConnected();
  void SetSocketOptions();
  void CheckOrWrite();
  void WriteCheck();
  void OnChecked(const boost::beast::error_code& error);
  /// \brief Makes `next` the request to write; false if it can't be written.
  bool Prepare(protocol::HttpRequest next);
  void Write();
  void Read();
  void ReadAnswer();
  void OnMisplacedResponse(bool keep_alive);
  void OnRead(const boost::beast::error_code& error);
  void ReturnToPool();
  state::Duration IdleLifetime() const;
  void WatchReadable();
  void StartIdleWatch();
  void OnIdleReadable();
  void ArmTimer(state::TimePoint when);
  void OnTimer();
  void CheckCallTimeouts(state::TimePoint now);
  void CheckIdleTimeout(state::TimePoint now);
  void Reassign();
  void FailCall(TransportError error);
  void CloseNow();
  bool IsClosedByServer();
  TransportError ConnectError(const boost::beast::error_code& error) const;
  void ReadResponse(ResponseReader::Handler handler);
  /// Tells whether an answer to the call broke off and the next one on the
  /// connection was read as the rest of it: servers send some twice.
  bool IsSpliced() const;
  void ReportIfMalformed(const boost::beast::error_code& error);

  const std::shared_ptr<PoolCore> pool;
  boost::beast::tcp_stream stream;
  // Expires no later than the next timeout. It is not postponed when that
  // moves later, as after each call: the handler then finds no timeout due.
  boost::asio::steady_timer timer;
  std::optional<state::TimePoint> timer_at;
  state::TimePoint written_at;  // of the current call
  bool is_written = false;
  ResponseReader reader;
  /// Absent, not empty, between calls: an assigned one keeps its memory.
  std::optional<boost::beast::http::request<boost::beast::http::string_body>>
      request;
  unsigned misplaced_responses = 0;  // discarded for the current call
  std::shared_ptr<PendingCall> current;
  std::atomic<state::Duration::rep> last_reply_at{0};
  // From the server's Keep-Alive header, less a margin.
  std::optional<state::Duration> advertised_idle_timeout;
  bool is_connected = false;
  bool is_closed = false;
  bool is_silent = false;  // released its slot in the pool
};

}  // namespace banyanknot::transport::internal

#endif  // BANYANKNOT_SRC_TRANSPORT_CLIENT_CONNECTION_H_
