#ifndef BANYANKNOT_SRC_TRANSPORT_HTTP_SERVER_IMPL_H_
#define BANYANKNOT_SRC_TRANSPORT_HTTP_SERVER_IMPL_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <memory>
#include <mutex>
#include <unordered_set>

#include "banyanknot/transport/http_server.h"

namespace banyanknot::transport {

namespace internal {

class ServerConnection;

}  // namespace internal

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl> {
  Impl(boost::asio::io_context& context, HttpHandler& handler,
       HttpServerLimits limits)
      : context(context),
        handler(handler),
        limits(limits),
        acceptor(boost::asio::make_strand(context)) {}

  void AcceptNext();
  void OnAccepted(boost::asio::ip::tcp::socket socket);
  HttpServerLimits Limits() const {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->limits;
  }

  boost::asio::io_context& context;
  HttpHandler& handler;
  HttpServerLimits limits;  // guarded by mutex
  boost::asio::ip::tcp::acceptor acceptor;
  std::atomic<bool> is_shut_down{false};
  std::atomic<bool> allows_keep_alive{true};
  std::atomic<std::uint64_t> refused_connections{0};
  mutable std::mutex mutex;
  std::unordered_set<std::shared_ptr<internal::ServerConnection>> connections;
};

}  // namespace banyanknot::transport

#endif  // BANYANKNOT_SRC_TRANSPORT_HTTP_SERVER_IMPL_H_
