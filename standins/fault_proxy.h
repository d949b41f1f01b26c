#ifndef BANYANKNOT_STANDINS_FAULT_PROXY_H_
#define BANYANKNOT_STANDINS_FAULT_PROXY_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "banyanknot/coordination/random_source.h"
#include "banyanknot/state/endpoint.h"
#include "banyanknot/state/result.h"
#include "banyanknot/transport/transport_error.h"
#include "proxy_faults.h"
#include "source_locator.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace banyanknot::standins {

/// \brief One port of the proxy and where it leads.
struct ProxyRoute {
  std::string name;
  std::string from_domain;  ///< empty: found by the SourceLocator
  std::string to_domain;
  state::Endpoint target;
  std::uint16_t port = 0;  ///< 0 takes any free port
};

/// \brief Carries TCP connections and does to them what a bad network does.
///
/// Thread-safe.
class FaultProxy {
 public:
  FaultProxy(boost::asio::io_context& context, SourceLocator& locator,
             coordination::RandomSource& random);
  ~FaultProxy();

  /// \returns the port of the route on loopback
  state::Result<std::uint16_t, transport::TransportError> AddRoute(
      const ProxyRoute& route);

  /// \brief Sets the faults of the routes that `pattern` names: a name, or a
  /// beginning followed by `*`.
  /// \returns the number of routes
  std::size_t SetFaults(const std::string& pattern, const RouteFaults& faults);

  /// \brief Makes a share of the open connections silent for good; new ones
  /// work.
  /// \returns the number of connections that went silent
  std::size_t BlackholeOpen(const std::string& pattern, double share);

  /// \brief Cuts one failure domain off from another, in one direction of
  /// connecting. An empty name stands for any domain.
  void Cut(const std::string& from, const std::string& to);

  /// \brief Ends all cuts. Connections that were silent stay so.
  void HealCuts();
  std::size_t Connections() const;

  struct Impl;  ///< hidden from callers

 private:
  std::shared_ptr<Impl> impl;
};

}  // namespace banyanknot::standins

#endif  // BANYANKNOT_STANDINS_FAULT_PROXY_H_
