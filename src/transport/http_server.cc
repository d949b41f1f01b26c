#include "banyanknot/transport/http_server.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <utility>

#include "transport/http_server_impl.h"
#include "transport/open_acceptor.h"
#include "transport/server_connection.h"

namespace banyanknot::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

void HttpServer::Impl::AcceptNext() {
  this->acceptor.async_accept(
      asio::make_strand(this->context),
      [self = this->shared_from_this()](const beast::error_code& error,
                                        tcp::socket socket) {
        if (error == asio::error::operation_aborted || self->is_shut_down) {
          return;
        }
        if (error) {
          self->AcceptLater();
          return;
        }
        self->OnAccepted(std::move(socket));
        self->AcceptNext();
      });
}

// Without file descriptors, an accept fails at once and would be tried again
// and again.
void HttpServer::Impl::AcceptLater() {
  constexpr state::Duration kAcceptRetryDelay = state::Milliseconds(50);
  this->accept_timer.expires_after(kAcceptRetryDelay);
  this->accept_timer.async_wait(
      [self = this->shared_from_this()](const beast::error_code& error) {
        if (!error && !self->is_shut_down) self->AcceptNext();
      });
}

std::shared_ptr<internal::ServerConnection>
HttpServer::Impl::LongestWaitingLocked() {
  std::shared_ptr<internal::ServerConnection> longest;
  std::optional<std::chrono::steady_clock::time_point> longest_since;
  for (const std::shared_ptr<internal::ServerConnection>& connection :
       this->connections) {
    const std::optional<std::chrono::steady_clock::time_point> since =
        connection->WaitingSince();
    if (!since || connection->is_displaced) continue;
    if (!longest_since || *since < *longest_since) {
      longest = connection;
      longest_since = since;
    }
  }
  return longest;
}

void HttpServer::Impl::OnAccepted(tcp::socket socket) {
  beast::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  std::shared_ptr<internal::ServerConnection> connection;
  std::shared_ptr<internal::ServerConnection> displaced;
  const state::Duration accept_delay = this->Limits().accept_delay;
  connection = std::make_shared<internal::ServerConnection>(
      this->shared_from_this(), std::move(socket));
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    const std::size_t open = this->connections.size() - this->displacing;
    if (open >= this->limits.max_connections) {
      // Connections that are to close still hold their descriptors.
      constexpr std::size_t kMaxDisplacingDivisor = 8;
      if (this->limits.displaces_waiting &&
          this->displacing <=
              this->limits.max_connections / kMaxDisplacingDivisor) {
        displaced = this->LongestWaitingLocked();
      }
      if (displaced == nullptr) {
        ++this->refused_connections;
        return;
      }
      displaced->is_displaced = true;
      ++this->displacing;
      ++this->displaced_connections;
    }
    this->connections.insert(connection);
  }
  if (displaced != nullptr) displaced->GiveWay(std::nullopt);
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
                       HttpServerLimits limits,
                       std::shared_ptr<coordination::MemoryAccount> memory)
    : impl(std::make_shared<Impl>(context, handler, limits,
                                  std::move(memory))) {}

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

void HttpServer::DisableKeepAlive() { this->impl->allows_keep_alive = false; }

void HttpServer::Shutdown() {
  if (this->impl->is_shut_down.exchange(true)) return;
  asio::post(this->impl->acceptor.get_executor(), [impl = this->impl] {
    beast::error_code ignored;
    impl->acceptor.close(ignored);
    impl->accept_timer.cancel();
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
    this->impl->displacing = 0;
  }
  for (const std::shared_ptr<internal::ServerConnection>& connection :
       connections) {
    connection->Abort();
  }
}

std::uint64_t HttpServer::RefusedConnections() const {
  return this->impl->refused_connections;
}

std::uint64_t HttpServer::DisplacedConnections() const {
  return this->impl->displaced_connections;
}

std::size_t HttpServer::Connections() const {
  const std::lock_guard<std::mutex> lock(this->impl->mutex);
  return this->impl->connections.size();
}

}  // namespace banyanknot::transport
