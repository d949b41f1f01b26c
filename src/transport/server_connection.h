#ifndef BANYANKNOT_SRC_TRANSPORT_SERVER_CONNECTION_H_
#define BANYANKNOT_SRC_TRANSPORT_SERVER_CONNECTION_H_

#include <boost/asio/dispatch.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <utility>

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
        timer(this->stream.get_executor()) {}

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
         keep_alive] { self->WriteNow(response, keep_alive); });
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
  void ReadSome(void (ServerConnection::*then)());
  void OnRead(const boost::beast::error_code& error);
  void WatchForClose(const std::shared_ptr<Exchange>& exchange);
  void WriteNow(const protocol::HttpResponse& response, bool keep_alive);
  void Reject(unsigned status, const char* error);
  void DiscardUntilClosed();
  void DiscardNext();
  void Close();

  const std::shared_ptr<HttpServer::Impl> server;
  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer;
  std::optional<
      boost::beast::http::request_parser<boost::beast::http::string_body>>
      parser;
  boost::beast::http::response<boost::beast::http::string_body> response;
  boost::asio::steady_timer timer;  // for the next request, then to read it
  std::chrono::steady_clock::time_point idle_since;
  bool is_new = true;    // until its first request is read
  bool is_busy = false;  // from the first byte of a request to its response
  bool has_read_timed_out = false;  // of the request
  bool is_rejected = false;         // further input is discarded
};

}  // namespace banyanknot::transport::internal

#endif  // BANYANKNOT_SRC_TRANSPORT_SERVER_CONNECTION_H_
