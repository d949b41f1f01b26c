#ifndef BANYANKNOT_BENCH_MEASURE_DIRECT_FAN_OUT_H_
#define BANYANKNOT_BENCH_MEASURE_DIRECT_FAN_OUT_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "banyanknot/state/catalogue.h"
#include "banyanknot/state/sub_request.h"
#include "banyanknot/transport/http_connection_pool.h"
#include "banyanknot/transport/io_threads.h"
#include "banyanknot/transport/steady_clock.h"

namespace banyanknot::measure {

/// \brief A client that asks every shard's first replica itself.
class DirectFanOut {
 public:
  explicit DirectFanOut(const state::ServiceEntry& service);

  /// \brief Asks all shards at once and waits for the last reply.
  /// \returns the time it took, in milliseconds; negative if a reply failed
  double RunOnce();

 private:
  struct Target {
    std::unique_ptr<transport::HttpConnectionPool> pool;
    state::SubRequest request;
  };

  transport::SteadyClock clock;
  transport::IoThreads threads;
  std::vector<Target> targets;
  std::uint64_t next_sequence = 1;
};

}  // namespace banyanknot::measure

#endif  // BANYANKNOT_BENCH_MEASURE_DIRECT_FAN_OUT_H_
