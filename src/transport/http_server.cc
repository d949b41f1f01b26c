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

void HttpServer::DisableKeepAlive() { this->impl->allows_keep_alive = false; }

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
