#ifndef BANYANKNOT_DAEMONS_HOST_APPLICATION_H_
#define BANYANKNOT_DAEMONS_HOST_APPLICATION_H_

#include <memory>
#include <string>

#include "host_settings.h"

namespace banyanknot::daemons {

/// \brief Composition root of banyanknot_host: constructs all components of a
/// host, connects and runs them.
class HostApplication {
 public:
  explicit HostApplication(const HostSettings& settings);
  ~HostApplication();

  /// \brief Serves until SIGTERM or SIGINT, then shuts down gracefully; a
  /// second signal forces the shutdown.
  /// \returns the exit status of the process; 1 if a listener failed or the
  ///     shutdown was forced
  int Run();

 private:
  bool Listen();
  void LogListenFailure(const state::Endpoint& endpoint,
                        const std::string& error);
  int RunUntilStopped();

  struct Parts;
  std::unique_ptr<Parts> parts;
};

}  // namespace banyanknot::daemons

#endif  // BANYANKNOT_DAEMONS_HOST_APPLICATION_H_
