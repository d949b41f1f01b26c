#ifndef BANYANKNOT_DAEMONS_RELAY_APPLICATION_H_
#define BANYANKNOT_DAEMONS_RELAY_APPLICATION_H_

#include <memory>
#include <string>

#include "banyanknot/coordination/clock.h"
#include "banyanknot/coordination/routing/routing_source.h"
#include "banyanknot/protocol/relay_codec.h"
#include "relay_settings.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace banyanknot::daemons {

/// \brief Makes the source of routes and servers that an environment has.
class RoutingSourceFactory {
 public:
  virtual ~RoutingSourceFactory() = default;
  virtual std::unique_ptr<coordination::RoutingSource> Make(
      boost::asio::io_context& context, const coordination::Clock& clock,
      const state::Endpoint& endpoint) const = 0;
};

/// \brief Constructs a relay host's parts, hands each its dependencies and
/// runs them.
class RelayApplication {
 public:
  /// \param settings_file read again on SIGHUP and when it changes
  RelayApplication(const RelaySettings& settings, std::string settings_file,
                   const protocol::RelayCodec& codec,
                   const RoutingSourceFactory& sources);
  ~RelayApplication();

  /// \brief Serves until SIGTERM or SIGINT, then stops gracefully; a second
  /// signal ends it at once.
  /// \returns the exit status of the process; 1 if work was left
  int Run();

 private:
  bool Listen();
  void WatchSettings();
  void ReloadSettings();
  int RunUntilStopped();

  struct Parts;
  std::unique_ptr<Parts> parts;
};

}  // namespace banyanknot::daemons

#endif  // BANYANKNOT_DAEMONS_RELAY_APPLICATION_H_
