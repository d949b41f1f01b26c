#include "banyanknot/transport/http_server.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <mutex>
#include <optional>
#include <unordered_set>
#include <utility>

#include "transport/http_convert.h"
#include "transport/open_acceptor.h"

namespace banyanknot::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace internal {

class ServerConnection;

}  // namespace internal

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl> {
  Impl(asio::io_context& context, HttpHandler& handler, HttpServerLimits limits)
      : context(context),
        handler(handler),
        limits(limits),
        acceptor(asio::make_strand(context)) {}

  void AcceptNext();
  void OnAccepted(tcp::socket socket);
  HttpServerLimits Limits() const {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->limits;
  }

  asio::io_context& context;
  HttpHandler& handler;
  HttpServerLimits limits;  // under the mutex
  tcp::acceptor acceptor;
  std::atomic<bool> is_shut_down{false};
  std::atomic<bool> keeps_alive{true};
  std::atomic<std::uint64_t> refused_connections{0};
  mutable std::mutex mutex;
  std::unordered_set<std::shared_ptr<internal::ServerConnection>> connections;
};

namespace internal {

/// \brief One connection of a caller; reads, hands over, writes, repeats.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(std::shared_ptr<HttpServer::Impl> server, tcp::socket socket)
      : server(std::move(server)),
        limits(this->server->Limits()),
        stream(std::move(socket)),
        read_timer(this->stream.get_executor()) {}

  void Start() {
    // A look for a close must never block its thread: a wait for readability
    // may end although there is nothing to read.
    beast::error_code ignored;
    this->stream.socket().non_blocking(true, ignored);
    asio::dispatch(this->stream.get_executor(),
                   [self = this->shared_from_this()] { self->ReadNext(); });
  }

  void CloseIfIdle() {
    asio::dispatch(this->stream.get_executor(),
                   [self = this->shared_from_this()] {
                     if (!self->is_busy) self->Close();
                   });
  }

  void Abort() {
    asio::dispatch(this->stream.get_executor(),
                   [self = this->shared_from_this()] { self->Close(); });
  }

  void Write(protocol::HttpResponse response, bool keep_alive) {
    asio::dispatch(
        this->stream.get_executor(),
        [self = this->shared_from_this(), response = std::move(response),
         keep_alive] { self->WriteNow(response, keep_alive); });
  }

 private:
  class Exchange;

  void ReadNext();
  void WaitForRequest();
  void ReadRequest();
  void OnRead(const beast::error_code& error);
  void WatchForClose(const std::shared_ptr<Exchange>& exchange);
  void WriteNow(const protocol::HttpResponse& response, bool keep_alive);
  void Refuse(unsigned status, const char* error);
  void DiscardUntilClosed();
  void DiscardNext();
  void Close();

  const std::shared_ptr<HttpServer::Impl> server;
  HttpServerLimits limits;  // as of the current request
  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  std::optional<http::request_parser<http::string_body>> parser;
  http::response<http::string_body> response;
  asio::steady_timer read_timer;
  bool is_busy = false;     // a request has begun to arrive or is answered
  bool is_overdue = false;  // it took too long to arrive
  bool is_refused = false;  // what it still sends is discarded
};

class ServerConnection::Exchange : public HttpExchange {
 public:
  Exchange(std::shared_ptr<ServerConnection> connection,
           protocol::HttpRequest request, bool keep_alive)
      : connection(std::move(connection)),
        request(std::move(request)),
        keep_alive(keep_alive) {}

  ~Exchange() override {
    if (!this->is_answered.exchange(true)) this->connection->Abort();
  }

  const protocol::HttpRequest& Request() const override {
    return this->request;
  }

  void Respond(protocol::HttpResponse response) override {
    if (this->is_answered.exchange(true)) return;
    this->TakeClosedHandler();
    this->connection->Write(std::move(response), this->keep_alive);
  }

  void OnClosed(std::function<void()> handler) override {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (!this->is_closed) {
      this->closed_handler = std::move(handler);
      return;
    }
    asio::post(this->connection->stream.get_executor(), std::move(handler));
  }

  void NotifyClosed() {
    std::function<void()> handler = this->TakeClosedHandler();
    if (handler) handler();
  }

 private:
  std::function<void()> TakeClosedHandler() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->is_closed = true;
    return std::exchange(this->closed_handler, nullptr);
  }

  const std::shared_ptr<ServerConnection> connection;
  const protocol::HttpRequest request;
  const bool keep_alive;
  std::atomic<bool> is_answered{false};
  std::mutex mutex;
  bool is_closed = false;
  std::function<void()> closed_handler;
};

void ServerConnection::ReadNext() {
  this->limits = this->server->Limits();
  this->is_busy = this->buffer.size() > 0;
  this->parser.emplace();
  this->parser->body_limit(this->limits.max_body_bytes);
  this->parser->header_limit(
      static_cast<std::uint32_t>(this->limits.max_header_bytes));
  if (this->is_busy) {
    this->ReadRequest();
  } else if (this->server->is_shut_down) {
    this->Close();
  } else {
    this->WaitForRequest();
  }
}

void ServerConnection::WaitForRequest() {
  constexpr std::size_t kFirstReadBytes = 4096;
  this->stream.expires_after(this->limits.idle_timeout);
  this->stream.async_read_some(
      this->buffer.prepare(kFirstReadBytes),
      [self = this->shared_from_this()](const beast::error_code& error,
                                        std::size_t bytes) {
        if (error) {
          self->Close();
          return;
        }
        self->buffer.commit(bytes);
        self->ReadRequest();
      });
}

void ServerConnection::ReadRequest() {
  this->is_busy = true;
  this->stream.expires_never();
  this->read_timer.expires_after(this->limits.read_timeout);
  this->read_timer.async_wait(
      [self = this->shared_from_this()](const beast::error_code& error) {
        if (error) return;
        self->is_overdue = true;
        beast::error_code ignored;
        self->stream.socket().cancel(ignored);  // ends the read
      });
  http::async_read(this->stream, this->buffer, *this->parser,
                   [self = this->shared_from_this()](
                       const beast::error_code& error, std::size_t /*bytes*/) {
                     self->OnRead(error);
                   });
}

void ServerConnection::OnRead(const beast::error_code& error) {
  this->read_timer.cancel();
  if (error == http::error::header_limit) {
    this->Refuse(431, R"({"outcome":"invalid","error":"header_too_large"})");
    return;
  }
  if (error == http::error::body_limit) {
    this->Refuse(413, R"({"outcome":"invalid","error":"too_large"})");
    return;
  }
  if (error && this->is_overdue) {
    this->Refuse(408, R"({"outcome":"invalid","error":"timeout"})");
    return;
  }
  if (error &&
      error.category() ==
          http::make_error_code(http::error::bad_method).category() &&
      error != http::error::end_of_stream &&
      error != http::error::partial_message) {
    this->Refuse(400, R"({"outcome":"invalid","error":"malformed"})");
    return;
  }
  if (error) {
    this->Close();
    return;
  }
  this->is_overdue = false;
  const bool keep_alive = this->parser->keep_alive();
  const std::shared_ptr<Exchange> exchange = std::make_shared<Exchange>(
      this->shared_from_this(), FromBeast(this->parser->release()), keep_alive);
  this->WatchForClose(exchange);
  this->server->handler.Handle(exchange);
}

void ServerConnection::WatchForClose(
    const std::shared_ptr<Exchange>& exchange) {
  if (this->buffer.size() > 0) return;  // the next request came already
  this->stream.socket().async_wait(
      tcp::socket::wait_read, [self = this->shared_from_this(),
                               exchange = std::weak_ptr<Exchange>(exchange)](
                                  const beast::error_code& error) {
        if (error || !self->stream.socket().is_open()) return;
        beast::error_code peek_error;
        char byte = 0;
        const std::size_t peeked = self->stream.socket().receive(
            asio::buffer(&byte, 1), tcp::socket::message_peek, peek_error);
        if (!peek_error && peeked > 0) return;
        const std::shared_ptr<Exchange> open = exchange.lock();
        if (open == nullptr) return;
        if (peek_error == asio::error::would_block) {
          self->WatchForClose(open);
        } else {
          open->NotifyClosed();
        }
      });
}

void ServerConnection::WriteNow(const protocol::HttpResponse& response,
                                bool keep_alive) {
  beast::error_code ignored;
  this->stream.socket().cancel(ignored);  // ends the watch for a close
  keep_alive =
      keep_alive && !this->server->is_shut_down && this->server->keeps_alive;
  this->response = ToBeast(response, keep_alive);
  this->stream.expires_after(this->limits.write_timeout);
  http::async_write(this->stream, this->response,
                    [self = this->shared_from_this(), keep_alive](
                        const beast::error_code& error, std::size_t /*bytes*/) {
                      if (!error && self->is_refused) {
                        self->DiscardUntilClosed();
                      } else if (error || !keep_alive) {
                        self->Close();
                      } else {
                        self->ReadNext();
                      }
                    });
}

void ServerConnection::Refuse(unsigned status, const char* error) {
  this->is_refused = true;
  this->WriteNow({status, error}, false);
}

// A close with bytes unread would reset the connection, and the caller might
// never see the response.
void ServerConnection::DiscardUntilClosed() {
  beast::error_code ignored;
  this->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
  this->stream.expires_after(this->limits.linger);
  this->DiscardNext();
}

void ServerConnection::DiscardNext() {
  constexpr std::size_t kDiscardBytes = 16u << 10;
  this->buffer.clear();
  this->stream.async_read_some(
      this->buffer.prepare(kDiscardBytes),
      [self = this->shared_from_this()](const beast::error_code& error,
                                        std::size_t /*bytes*/) {
        if (error) {
          self->Close();
        } else {
          self->DiscardNext();
        }
      });
}

void ServerConnection::Close() {
  this->read_timer.cancel();
  beast::error_code ignored;
  this->stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
  this->stream.socket().close(ignored);
  const std::lock_guard<std::mutex> lock(this->server->mutex);
  this->server->connections.erase(this->shared_from_this());
}

}  // namespace internal

void HttpServer::Impl::AcceptNext() {
  this->acceptor.async_accept(
      asio::make_strand(this->context),
      [self = this->shared_from_this()](const beast::error_code& error,
                                        tcp::socket socket) {
        if (error == asio::error::operation_aborted || self->is_shut_down) {
          return;
        }
        if (!error) self->OnAccepted(std::move(socket));
        self->AcceptNext();
      });
}

void HttpServer::Impl::OnAccepted(tcp::socket socket) {
  beast::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  std::shared_ptr<internal::ServerConnection> connection;
  const state::Duration accept_delay = this->Limits().accept_delay;
  connection = std::make_shared<internal::ServerConnection>(
      this->shared_from_this(), std::move(socket));
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->connections.size() >= this->limits.max_connections) {
      ++this->refused_connections;
      return;
    }
    this->connections.insert(connection);
  }
  if (accept_delay.count() == 0) {
    connection->Start();
    return;
  }
  const std::shared_ptr<asio::steady_timer> timer =
      std::make_shared<asio::steady_timer>(this->context, accept_delay);
  timer->async_wait([timer, connection](const beast::error_code& /*error*/) {
    connection->Start();
  });
}

HttpServer::HttpServer(asio::io_context& context, HttpHandler& handler,
                       HttpServerLimits limits)
    : impl(std::make_shared<Impl>(context, handler, limits)) {}

HttpServer::~HttpServer() {
  this->Shutdown();
  this->Abort();
}

state::Result<std::uint16_t, TransportError> HttpServer::Listen(
    const state::Endpoint& endpoint) {
  state::Result<std::uint16_t, TransportError> port =
      internal::OpenAcceptor(this->impl->acceptor, endpoint);
  if (state::IsOk(port)) this->impl->AcceptNext();
  return port;
}

void HttpServer::SetLimits(const HttpServerLimits& limits) {
  const std::lock_guard<std::mutex> lock(this->impl->mutex);
  this->impl->limits = limits;
}

void HttpServer::StopKeepingAlive() { this->impl->keeps_alive = false; }

void HttpServer::Shutdown() {
  if (this->impl->is_shut_down.exchange(true)) return;
  asio::post(this->impl->acceptor.get_executor(), [impl = this->impl] {
    beast::error_code ignored;
    impl->acceptor.close(ignored);
  });
  std::unordered_set<std::shared_ptr<internal::ServerConnection>> connections;
  {
    const std::lock_guard<std::mutex> lock(this->impl->mutex);
    connections = this->impl->connections;
  }
  for (const std::shared_ptr<internal::ServerConnection>& connection :
       connections) {
    connection->CloseIfIdle();
  }
}

void HttpServer::Abort() {
  std::unordered_set<std::shared_ptr<internal::ServerConnection>> connections;
  {
    const std::lock_guard<std::mutex> lock(this->impl->mutex);
    connections.swap(this->impl->connections);
  }
  for (const std::shared_ptr<internal::ServerConnection>& connection :
       connections) {
    connection->Abort();
  }
}

std::uint64_t HttpServer::RefusedConnections() const {
  return this->impl->refused_connections;
}

std::size_t HttpServer::Connections() const {
  const std::lock_guard<std::mutex> lock(this->impl->mutex);
  return this->impl->connections.size();
}

}  // namespace banyanknot::transport
