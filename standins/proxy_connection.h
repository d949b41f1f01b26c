#ifndef BANYANKNOT_STANDINS_PROXY_CONNECTION_H_
#define BANYANKNOT_STANDINS_PROXY_CONNECTION_H_

#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "fault_proxy.h"

namespace banyanknot::standins::internal {

/// \brief The state of one route that its connections share.
struct RouteState {
  explicit RouteState(ProxyRoute route) : route(std::move(route)) {}

  RouteFaults Faults() const {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->faults;
  }

  const ProxyRoute route;
  ReplyCrosser crosser;
  mutable std::mutex mutex;
  RouteFaults faults;
};

/// \brief One connection through the proxy: two sockets and a pump each way.
class ProxyConnection : public std::enable_shared_from_this<ProxyConnection> {
 public:
  using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;
  using Socket = boost::asio::ip::tcp::socket;

  /// \param on_closed called once when both ends are closed
  ProxyConnection(boost::asio::io_context& context, Socket source,
                  std::shared_ptr<RouteState> route,
                  std::function<void(const ProxyConnection*)> on_closed);

  void Start();

  /// \brief Carries nothing any more, and closes nothing either.
  void GoSilent() { this->is_silent = true; }
  const RouteState& Route() const { return *this->route; }
  const std::string& SourceAddress() const { return this->source_address; }

  /// \brief Failure domain of the connecting side; set once it is known.
  std::string FromDomain() const;
  void SetFromDomain(const std::string& domain);
  void Close();

 private:
  struct Pump {
    Pump(Socket& from, Socket& to, const Strand& strand, bool carries_replies)
        : from(from), to(to), timer(strand), carries_replies(carries_replies) {}
    Socket& from;
    Socket& to;
    boost::asio::steady_timer timer;
    const bool carries_replies;
    std::array<char, 16384> bytes{};
    std::string outgoing;
    boost::beast::flat_buffer buffer;
    std::optional<
        boost::beast::http::response_parser<boost::beast::http::string_body>>
        parser;
  };

  void Connect();
  void ReadNext(Pump& pump);
  void ReadBytes(Pump& pump);
  void ReadResponse(Pump& pump);
  void Forward(Pump& pump);
  void Write(Pump& pump);
  void Fail();
  void ResetNow();

  const std::shared_ptr<RouteState> route;
  const std::function<void(const ProxyConnection*)> on_closed;
  const Strand strand;
  Socket source;
  Socket target;
  Pump requests;
  Pump replies;
  std::string source_address;
  std::uint64_t reply_bytes = 0;
  std::atomic<bool> is_silent{false};
  bool is_closed = false;
  mutable std::mutex mutex;
  std::string from_domain;
};

}  // namespace banyanknot::standins::internal

#endif  // BANYANKNOT_STANDINS_PROXY_CONNECTION_H_
