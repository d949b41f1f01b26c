#ifndef BANYANKNOT_COORDINATION_SERVERS_SERVER_BACKOFF_H_
#define BANYANKNOT_COORDINATION_SERVERS_SERVER_BACKOFF_H_

#include <cstdint>

#include "banyanknot/coordination/random_source.h"
#include "banyanknot/state/util/time.h"

namespace banyanknot::coordination {

/// \brief Options of a ServerBackoff.
struct BackoffOptions {
  std::uint32_t tolerated_failures = 2;  ///< consecutive ones without delay
  state::Duration initial_delay = state::Milliseconds(100);
  state::Duration max_delay = state::Milliseconds(3'000);
};

/// \brief Delays attempts at a server that refuses connections.
///
/// Thread-safe. Exponential backoff; jitter keeps hosts from retrying at once.
class ServerBackoff {
 public:
  ServerBackoff(RandomSource& random, BackoffOptions options)
      : random(random), options(options) {}

  /// \brief Returns the delay after that many consecutive failures; 0 for none.
  state::Duration DelayAfter(std::uint32_t consecutive_failures) const;

 private:
  RandomSource& random;
  const BackoffOptions options;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_SERVERS_SERVER_BACKOFF_H_
