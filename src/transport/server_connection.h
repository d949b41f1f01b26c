#ifndef BANYANKNOT_SRC_TRANSPORT_SERVER_CONNECTION_H_
#define BANYANKNOT_SRC_TRANSPORT_SERVER_CONNECTION_H_

#include <atomic>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <utility>

#include "banyanknot/coordination/memory/memory_account.h"
#include "transport/http_server_impl.h"

namespace banyanknot::transport::internal {

/// \brief One accepted connection: reads a request, passes it to the handler
/// and writes the response, in a loop.
///
/// Public functions are thread-safe; the rest runs on the connection's strand.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(std::shared_ptr<HttpServer::Impl> server,
                   boost::asio::ip::tcp::socket socket)
      : server(std::move(server)),
        stream(std::move(socket)),
        timer(this->stream.get_executor()) {
    this->SetWaiting(true);
  }

  void Start() {
    // The peek for a close must not block its thread: the wait for readability
    // may end spuriously.
    boost::beast::error_code ignored;
    this->stream.socket().non_blocking(true, ignored);
    boost::asio::dispatch(
        this->stream.get_executor(),
        [self = this->shared_from_this()] { self->ReadNext(); });
  }

  /// \brief Closes the connection unless a request has begun to arrive. A
  /// request whose bytes were read but not parsed yet is still answered.
  void CloseIfIdle() {
    boost::asio::dispatch(
        this->stream.get_executor(), [self = this->shared_from_this()] {
          if (self->is_busy) return;
          boost::beast::error_code ignored;
          self->stream.socket().cancel(ignored);  // ends a pending read
        });
  }

  /// \brief Ends what the caller makes the connection hold, unless its request
  /// runs: refuses an unfinished request, closes an idle connection or one
  /// whose response the caller doesn't take.
  /// \param number of the hold that must give way; nothing for any
  void GiveWay(std::optional<std::uint64_t> number) {
    boost::asio::post(this->stream.get_executor(),
                      [self = this->shared_from_this(), number] {
                        if (!number || *number == self->hold_number) {
                          self->GiveWayNow();
                        }
                      });
  }

  /// \brief Returns since when the connection waits for its caller, to send a
  /// request or more of it; nothing while a request runs or is answered.
  std::optional<std::chrono::steady_clock::time_point> WaitingSince() const {
    const std::chrono::steady_clock::time_point since = this->waiting_since;
    if (since == kNotWaiting) return std::nullopt;
    return since;
  }

  /// \brief Set once the connection is to close for a new one.
  std::atomic<bool> is_displaced{false};

  void Abort() {
    boost::asio::dispatch(this->stream.get_executor(),
                          [self = this->shared_from_this()] { self->Close(); });
  }

  /// \brief Returns the system's estimate; nothing if it has none. Called on
  /// the strand.
  std::optional<state::Duration> RoundTrip();

  void Write(protocol::HttpResponse response, bool keep_alive) {
    boost::asio::dispatch(
        this->stream.get_executor(),
        [self = this->shared_from_this(), response = std::move(response),
         keep_alive]() mutable {
          self->WriteNow(std::move(response), keep_alive);
        });
  }

 private:
  class Exchange;

  void ReadNext();
  void WaitForRequest();
  void ArmIdleTimer();
  void OnIdleTimer();
  void BeginRequest();
  void ReadHead();
  void ReadRequest();
  void ParseMore();
  bool TryHoldRequest();
  void ReadSome(void (ServerConnection::*then)());
  void OnRead(const boost::beast::error_code& error);
  void WatchForClose(const std::shared_ptr<Exchange>& exchange);
  void WriteNow(protocol::HttpResponse response, bool keep_alive);
  void WriteMore();
  void OnWritten();
  void Reject(unsigned status, const char* error);
  void RejectForRoom();
  void ReleaseMemory();
  void GiveWayNow();
  void SetWaiting(bool is_waiting);
  void OpenHold();
  void DiscardUntilClosed();
  void DiscardNext();
  void Close();

  static constexpr std::chrono::steady_clock::time_point kNotWaiting =
      std::chrono::steady_clock::time_point::max();

  const std::shared_ptr<HttpServer::Impl> server;
  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer;
  std::optional<
      boost::beast::http::request_parser<boost::beast::http::string_body>>
      parser;
  /// Absent, not empty, between requests: an assigned one keeps its memory.
  std::optional<boost::beast::http::response<boost::beast::http::string_body>>
      response;
  std::optional<
      boost::beast::http::response_serializer<boost::beast::http::string_body>>
      serializer;
  /// What the unfinished request or the response holds.
  std::unique_ptr<coordination::MemoryHold> hold;
  std::uint64_t hold_number = 0;  // changes with what is held
  std::atomic<std::chrono::steady_clock::time_point> waiting_since{kNotWaiting};
  boost::asio::steady_timer timer;  // for the next request, then to read it
  std::chrono::steady_clock::time_point idle_since;
  bool is_new = true;    // until its first request is read
  bool is_busy = false;  // from the first byte of a request to its response
  bool has_read_timed_out = false;  // of the request
  bool is_rejected = false;         // further input is discarded
  bool gives_way = false;           // its request was refused for memory
  bool is_writing = false;
  bool keeps_alive = false;  // after the response that is being written
};

}  // namespace banyanknot::transport::internal

#endif  // BANYANKNOT_SRC_TRANSPORT_SERVER_CONNECTION_H_
