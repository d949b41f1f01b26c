#ifndef BANYANKNOT_DAEMONS_HOST_APPLICATION_H_
#define BANYANKNOT_DAEMONS_HOST_APPLICATION_H_

#include <memory>

#include "host_settings.h"

namespace banyanknot::daemons {

/// \brief Constructs a host's parts, hands each its dependencies and runs them.
class HostApplication {
 public:
  explicit HostApplication(const HostSettings& settings);
  ~HostApplication();

  /// \brief Serves until SIGTERM or SIGINT.
  /// \returns the exit status of the process
  int Run();

 private:
  /// \returns whether other hosts can reach this one now
  bool ListenForPeers();

  struct Parts;
  std::unique_ptr<Parts> parts;
};

}  // namespace banyanknot::daemons

#endif  // BANYANKNOT_DAEMONS_HOST_APPLICATION_H_
