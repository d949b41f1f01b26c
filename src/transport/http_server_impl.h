#ifndef BANYANKNOT_SRC_TRANSPORT_HTTP_SERVER_IMPL_H_
#define BANYANKNOT_SRC_TRANSPORT_HTTP_SERVER_IMPL_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <memory>
#include <mutex>
#include <unordered_set>
#include <utility>

#include "banyanknot/coordination/memory/memory_account.h"
#include "banyanknot/transport/http_server.h"

namespace banyanknot::transport {

namespace internal {

class ServerConnection;

}  // namespace internal

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl> {
  Impl(boost::asio::io_context& context, HttpHandler& handler,
       HttpServerLimits limits,
       std::shared_ptr<coordination::MemoryAccount> memory)
      : context(context),
        handler(handler),
        memory(std::move(memory)),
        limits(limits),
        acceptor(boost::asio::make_strand(context)),
        accept_timer(acceptor.get_executor()) {}

  void AcceptNext();
  void OnAccepted(boost::asio::ip::tcp::socket socket);
  void AcceptLater();
  /// \brief Returns the connection that has waited longest for its caller and
  /// is not asked to close yet; null if there is none.
  std::shared_ptr<internal::ServerConnection> LongestWaitingLocked();
  HttpServerLimits Limits() const {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->limits;
  }

  boost::asio::io_context& context;
  HttpHandler& handler;
  const std::shared_ptr<coordination::MemoryAccount> memory;  // may be null
  HttpServerLimits limits;  // guarded by mutex
  boost::asio::ip::tcp::acceptor acceptor;
  std::atomic<bool> is_shut_down{false};
  std::atomic<bool> allows_keep_alive{true};
  std::atomic<std::uint64_t> refused_connections{0};
  std::atomic<std::uint64_t> displaced_connections{0};
  boost::asio::steady_timer accept_timer;
  mutable std::mutex mutex;
  std::unordered_set<std::shared_ptr<internal::ServerConnection>> connections;
  std::size_t displacing = 0;  // connections asked to close; guarded by mutex
};

}  // namespace banyanknot::transport

#endif  // BANYANKNOT_SRC_TRANSPORT_HTTP_SERVER_IMPL_H_
