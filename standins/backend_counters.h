#ifndef BANYANKNOT_STANDINS_BACKEND_COUNTERS_H_
#define BANYANKNOT_STANDINS_BACKEND_COUNTERS_H_

#include <cstdint>

#include "banyanknot/state/util/time.h"
#include "cold_start_model.h"

namespace banyanknot::standins {

/// \brief What one stand-in has seen.
struct BackendCounters {
  std::uint64_t received = 0;  ///< sub-requests, refused ones too
  std::uint64_t started = 0;   ///< sub-requests that got a slot
  std::uint64_t finished = 0;
  std::uint64_t shed = 0;
  std::uint64_t refused = 0;  ///< draining, wrong shard or missing snapshot
  std::uint64_t cancelled = 0;
  std::uint64_t expired = 0;       ///< gave up at their deadline
  state::TimePoint last_received;  ///< the epoch if none came
  ColdStartCounters cold;
  bool is_cold = false;
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
};

}  // namespace banyanknot::standins

#endif  // BANYANKNOT_STANDINS_BACKEND_COUNTERS_H_
