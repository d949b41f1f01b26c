#include "banyanknot/transport/http_connection_pool.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include "banyanknot/state/util/assert.h"
#include "transport/http_convert.h"

namespace banyanknot::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace internal {

/// \brief A call that waits for a connection or is on one.
struct PendingCall {
  HttpCall call;
  HttpCallHandler handler;
};

class ClientConnection;

}  // namespace internal

struct HttpConnectionPool::Impl
    : std::enable_shared_from_this<HttpConnectionPool::Impl> {
  Impl(asio::io_context& context, const coordination::Clock& clock,
       state::Endpoint endpoint, std::size_t max_connections)
      : context(context),
        clock(clock),
        endpoint(std::move(endpoint)),
        max_connections(max_connections) {}

  void Call(std::shared_ptr<internal::PendingCall> pending);
  void ExpireLater(const std::shared_ptr<internal::PendingCall>& pending);
  void Expire(const std::shared_ptr<internal::PendingCall>& pending);
  /// Takes the next waiting call; puts an idle connection away if there is
  /// none.
  std::shared_ptr<internal::PendingCall> NextCallFor(
      const std::shared_ptr<internal::ClientConnection>& connection);
  void OnConnectionClosed();

  asio::io_context& context;
  const coordination::Clock& clock;
  const state::Endpoint endpoint;
  const std::size_t max_connections;
  std::mutex mutex;
  bool is_shut_down = false;
  std::size_t open_connections = 0;
  std::vector<std::shared_ptr<internal::ClientConnection>> idle;
  std::deque<std::shared_ptr<internal::PendingCall>> waiting;
};

namespace internal {

/// \brief One connection of the pool; carries one call at a time.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  explicit ClientConnection(std::shared_ptr<HttpConnectionPool::Impl> pool)
      : pool(std::move(pool)), stream(asio::make_strand(this->pool->context)) {}

  void Carry(std::shared_ptr<PendingCall> pending) {
    asio::post(this->stream.get_executor(),
               [self = this->shared_from_this(), pending = std::move(pending)] {
                 self->current = pending;
                 self->is_connected ? self->Write() : self->Connect();
               });
  }

  void Close() {
    asio::post(this->stream.get_executor(),
               [self = this->shared_from_this()] { self->CloseNow(); });
  }

 private:
  void Connect();
  void Write();
  void Read();
  void OnRead(const beast::error_code& error);
  void FinishWith(TransportError error);
  void CloseNow();

  const std::shared_ptr<HttpConnectionPool::Impl> pool;
  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  http::request<http::string_body> request;
  std::optional<http::response_parser<http::string_body>> parser;
  std::shared_ptr<PendingCall> current;
  bool is_connected = false;
  bool is_closed = false;
};

void ClientConnection::Connect() {
  beast::error_code error;
  const asio::ip::address address =
      asio::ip::make_address(this->pool->endpoint.address, error);
  if (error) {
    this->FinishWith(TransportError::kResolve);
    return;
  }
  this->stream.expires_at(this->current->call.send_before);
  this->stream.async_connect(
      tcp::endpoint(address, this->pool->endpoint.port),
      [self =
           this->shared_from_this()](const beast::error_code& connect_error) {
        if (connect_error) {
          self->FinishWith(TransportError::kConnect);
          return;
        }
        beast::error_code ignored;
        self->stream.socket().set_option(tcp::no_delay(true), ignored);
        self->is_connected = true;
        self->Write();
      });
}

void ClientConnection::Write() {
  if (this->pool->clock.Now() >= this->current->call.send_before) {
    this->FinishWith(TransportError::kExpired);
    return;
  }
  this->request = ToBeast(std::move(this->current->call.request),
                          ToText(this->pool->endpoint));
  this->stream.expires_at(this->current->call.deadline);
  http::async_write(this->stream, this->request,
                    [self = this->shared_from_this()](
                        const beast::error_code& error, std::size_t /*bytes*/) {
                      if (error) {
                        self->FinishWith(TransportError::kLost);
                      } else {
                        self->Read();
                      }
                    });
}

void ClientConnection::Read() {
  constexpr std::size_t kMaxResponseBytes = 64u << 20;
  this->parser.emplace();
  this->parser->body_limit(kMaxResponseBytes);
  http::async_read(this->stream, this->buffer, *this->parser,
                   [self = this->shared_from_this()](
                       const beast::error_code& error, std::size_t /*bytes*/) {
                     self->OnRead(error);
                   });
}

void ClientConnection::OnRead(const beast::error_code& error) {
  if (error) {
    this->FinishWith(error == beast::error::timeout ? TransportError::kTimeout
                                                    : TransportError::kLost);
    return;
  }
  const bool keep_alive = this->parser->keep_alive();
  protocol::HttpResponse response = FromBeast(this->parser->release());
  const std::shared_ptr<PendingCall> finished = std::move(this->current);
  this->stream.expires_never();
  if (!keep_alive) {
    this->CloseNow();
  } else {
    const std::shared_ptr<PendingCall> next =
        this->pool->NextCallFor(this->shared_from_this());
    if (next != nullptr) this->Carry(next);
  }
  finished->handler(std::move(response));
}

void ClientConnection::FinishWith(TransportError error) {
  const std::shared_ptr<PendingCall> finished = std::move(this->current);
  this->CloseNow();
  finished->handler(error);
}

void ClientConnection::CloseNow() {
  if (this->is_closed) return;
  this->is_closed = true;
  beast::error_code ignored;
  this->stream.socket().close(ignored);
  this->pool->OnConnectionClosed();
}

}  // namespace internal

void HttpConnectionPool::Impl::Call(
    std::shared_ptr<internal::PendingCall> pending) {
  std::shared_ptr<internal::ClientConnection> connection;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (!this->idle.empty()) {
      connection = std::move(this->idle.back());
      this->idle.pop_back();
    } else if (this->open_connections < this->max_connections) {
      ++this->open_connections;
      connection = std::make_shared<internal::ClientConnection>(
          this->shared_from_this());
    } else {
      this->waiting.push_back(pending);
    }
  }
  if (connection != nullptr) {
    connection->Carry(std::move(pending));
  } else {
    this->ExpireLater(pending);
  }
}

void HttpConnectionPool::Impl::ExpireLater(
    const std::shared_ptr<internal::PendingCall>& pending) {
  const std::shared_ptr<asio::steady_timer> timer =
      std::make_shared<asio::steady_timer>(this->context,
                                           pending->call.send_before);
  timer->async_wait([self = this->shared_from_this(), timer,
                     weak = std::weak_ptr<internal::PendingCall>(pending)](
                        const beast::error_code& error) {
    const std::shared_ptr<internal::PendingCall> waiting_call = weak.lock();
    if (!error && waiting_call != nullptr) self->Expire(waiting_call);
  });
}

void HttpConnectionPool::Impl::Expire(
    const std::shared_ptr<internal::PendingCall>& pending) {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    const auto found =
        std::find(this->waiting.begin(), this->waiting.end(), pending);
    if (found == this->waiting.end()) return;
    this->waiting.erase(found);
  }
  pending->handler(TransportError::kLimit);
}

std::shared_ptr<internal::PendingCall> HttpConnectionPool::Impl::NextCallFor(
    const std::shared_ptr<internal::ClientConnection>& connection) {
  bool close = false;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (!this->waiting.empty()) {
      std::shared_ptr<internal::PendingCall> next =
          std::move(this->waiting.front());
      this->waiting.pop_front();
      return next;
    }
    close = this->is_shut_down;
    if (!close) this->idle.push_back(connection);
  }
  if (close) connection->Close();
  return nullptr;
}

void HttpConnectionPool::Impl::OnConnectionClosed() {
  std::shared_ptr<internal::PendingCall> next;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    --this->open_connections;
    if (this->waiting.empty()) return;
    next = std::move(this->waiting.front());
    this->waiting.pop_front();
  }
  this->Call(std::move(next));
}

HttpConnectionPool::HttpConnectionPool(asio::io_context& context,
                                       const coordination::Clock& clock,
                                       state::Endpoint endpoint,
                                       std::size_t max_connections)
    : impl(std::make_shared<Impl>(context, clock, std::move(endpoint),
                                  max_connections)) {
  BANYANKNOT_ASSERT(max_connections > 0, "allow at least one connection");
}

HttpConnectionPool::~HttpConnectionPool() { this->Shutdown(); }

void HttpConnectionPool::Call(HttpCall call, HttpCallHandler handler) {
  this->impl->Call(std::make_shared<internal::PendingCall>(
      internal::PendingCall{std::move(call), std::move(handler)}));
}

void HttpConnectionPool::Shutdown() {
  std::vector<std::shared_ptr<internal::ClientConnection>> idle;
  {
    const std::lock_guard<std::mutex> lock(this->impl->mutex);
    this->impl->is_shut_down = true;
    idle.swap(this->impl->idle);
  }
  for (const std::shared_ptr<internal::ClientConnection>& connection : idle) {
    connection->Close();
  }
}

}  // namespace banyanknot::transport
