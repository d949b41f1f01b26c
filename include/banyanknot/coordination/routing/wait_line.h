#ifndef BANYANKNOT_COORDINATION_ROUTING_WAIT_LINE_H_
#define BANYANKNOT_COORDINATION_ROUTING_WAIT_LINE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "banyanknot/state/identifier.h"
#include "banyanknot/state/sharded_table.h"
#include "banyanknot/state/util/time.h"

namespace banyanknot::coordination {

/// \brief A request that waits for room at a service.
struct Waiter {
  std::uint64_t run = 0;
  unsigned priority = 0;  ///< 0 is the most urgent
  state::TimePoint due;   ///< the sooner, the more urgent among equals
};

/// \brief Requests that wait for room, by service; the most urgent goes first.
///
/// Thread-safe. Answers a service whose servers are all taken: what is urgent
/// passes what is not, whatever came first.
class WaitLine {
 public:
  /// \param most waiters that a service may have
  explicit WaitLine(std::size_t most) : most(most) {}

  /// \returns false if the line is full
  bool Join(const state::ServiceId& service, const Waiter& waiter);
  /// \brief Takes the most urgent waiter that is not past its time.
  std::optional<Waiter> Next(const state::ServiceId& service,
                             state::TimePoint now);

 private:
  const std::size_t most;
  state::ShardedTable<state::ServiceId, std::vector<Waiter>> lines;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_WAIT_LINE_H_
