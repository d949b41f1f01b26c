#ifndef BANYANKNOT_COORDINATION_ROUTING_WAIT_LINE_H_
#define BANYANKNOT_COORDINATION_ROUTING_WAIT_LINE_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "banyanknot/coordination/routing/wait_forecast.h"
#include "banyanknot/state/sharded_table.h"

namespace banyanknot::coordination {

/// \brief Requests that wait for room, by service; the most urgent goes first.
///
/// Thread-safe. Answers a service whose servers are all taken: what is urgent
/// passes what is not, whatever came first. Learns from the turns that it
/// gives how long the next ones will wait.
class WaitLine : public WaitForecast {
 public:
  /// Waiters of one service; far more than can be served before they are due.
  static constexpr std::size_t kMostWaiters = 64;

  /// \param most waiters that a service may have
  explicit WaitLine(std::size_t most = kMostWaiters) : most(most) {}

  /// \returns false if the line is full
  bool Join(const state::ServiceId& service, const Waiter& waiter,
            state::TimePoint now);
  /// \brief Takes the most urgent waiter that is not past its time.
  std::optional<Waiter> Next(const state::ServiceId& service,
                             state::TimePoint now);

  ExpectedWait Forecast(const state::ServiceId& service,
                        const Waiter& waiter) const override;

 private:
  struct Line {
    std::vector<Waiter> waiters;
    state::TimePoint last_turn;   // or when the first waiter came
    state::Duration interval{0};  // moving average; 0 before the first turn
  };

  const std::size_t most;
  state::ShardedTable<state::ServiceId, Line> lines;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_WAIT_LINE_H_
