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

/// \brief Creates the source of routes and servers of a platform.
class RoutingSourceFactory {
 public:
  virtual ~RoutingSourceFactory() = default;
  /// \brief Returns the decoder of the source's changes; outlives what Make()
  /// returns.
  virtual const coordination::ChangeDecoder& Decoder() const = 0;
  virtual std::unique_ptr<coordination::RoutingSource> Make(
      boost::asio::io_context& context, const coordination::Clock& clock,
      const state::Endpoint& endpoint) const = 0;
};

/// \brief Composition root of a relay host: constructs all components, connects
/// and runs them.
class RelayApplication {
 public:
  /// \param settings_file checked again on SIGHUP and when it changes; new
  ///     settings take effect at the next start
  RelayApplication(const RelaySettings& settings, std::string settings_file,
                   const protocol::RelayCodec& codec,
                   const RoutingSourceFactory& sources);
  ~RelayApplication();

  /// \brief Serves until SIGTERM or SIGINT, then shuts down gracefully; a
  /// second signal forces the shutdown.
  /// \returns the exit status of the process; 1 if a listener failed or the
  ///     shutdown was forced
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
