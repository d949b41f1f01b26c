#ifndef BANYANKNOT_COORDINATION_SERVERS_SERVER_BACKOFF_H_
#define BANYANKNOT_COORDINATION_SERVERS_SERVER_BACKOFF_H_

#include <cstdint>

#include "banyanknot/coordination/random_source.h"
#include "banyanknot/state/util/time.h"

namespace banyanknot::coordination {

/// \brief Times of a ServerBackoff.
struct BackoffOptions {
  std::uint32_t tolerated_failures = 2;  ///< in a row, without any delay
  state::Duration initial_delay = state::Milliseconds(100);
  state::Duration max_delay = state::Milliseconds(3'000);
};

/// \brief Spaces the attempts at a server that can't be connected to.
///
/// Thread-safe. Exponential delays with jitter, so that hosts don't try
/// together.
class ServerBackoff {
 public:
  ServerBackoff(RandomSource& random, BackoffOptions times)
      : random(random), times(times) {}

  /// \brief The delay after so many failures in a row; 0 for none.
  state::Duration DelayAfter(std::uint32_t consecutive_failures) const;

 private:
  RandomSource& random;
  const BackoffOptions times;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_SERVERS_SERVER_BACKOFF_H_
