#ifndef BANYANKNOT_SRC_TRANSPORT_SERVER_CONNECTION_H_
#define BANYANKNOT_SRC_TRANSPORT_SERVER_CONNECTION_H_

#include <boost/asio/dispatch.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <optional>
#include <utility>

#include "transport/http_server_impl.h"

namespace banyanknot::transport::internal {

/// \brief One connection of a caller; reads, hands over, writes, repeats.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(std::shared_ptr<HttpServer::Impl> server,
                   boost::asio::ip::tcp::socket socket)
      : server(std::move(server)),
        limits(this->server->Limits()),
        stream(std::move(socket)),
        read_timer(this->stream.get_executor()) {}

  void Start() {
    // A look for a close must never block its thread: a wait for readability
    // may end although there is nothing to read.
    boost::beast::error_code ignored;
    this->stream.socket().non_blocking(true, ignored);
    boost::asio::dispatch(
        this->stream.get_executor(),
        [self = this->shared_from_this()] { self->ReadNext(); });
  }

  /// \brief Closes the connection unless a request has begun to arrive. One
  /// whose bytes were read, but not looked at yet, is answered as any other.
  void CloseIfIdle() {
    boost::asio::dispatch(
        this->stream.get_executor(), [self = this->shared_from_this()] {
          if (self->is_busy) return;
          boost::beast::error_code ignored;
          self->stream.socket().cancel(ignored);  // ends the wait, if it lasts
        });
  }

  void Abort() {
    boost::asio::dispatch(this->stream.get_executor(),
                          [self = this->shared_from_this()] { self->Close(); });
  }

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
  HttpServerLimits limits;  // as of the current request
  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer;
  std::optional<
      boost::beast::http::request_parser<boost::beast::http::string_body>>
      parser;
  boost::beast::http::response<boost::beast::http::string_body> response;
  boost::asio::steady_timer read_timer;
  bool is_busy = false;  // a request has begun to arrive or is answered
  bool has_read_timed_out = false;  // it took too long to arrive
  bool is_rejected = false;         // what it still sends is discarded
};

}  // namespace banyanknot::transport::internal

#endif  // BANYANKNOT_SRC_TRANSPORT_SERVER_CONNECTION_H_
