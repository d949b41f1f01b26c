#ifndef BANYANKNOT_TEST_COORDINATION_ROUTING_CHOICE_REPLAY_H_
#define BANYANKNOT_TEST_COORDINATION_ROUTING_CHOICE_REPLAY_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "banyanknot/coordination/random_source.h"
#include "banyanknot/coordination/routing/least_cost_choice.h"
#include "banyanknot/coordination/routing/server_choice.h"
#include "banyanknot/coordination/routing/two_random_choices.h"
#include "banyanknot/state/util/time.h"

namespace banyanknot::coordination::routing_testing {

/// One implementation of each kind, with its own random numbers.
class ChoiceUnderTest {
 public:
  ChoiceUnderTest(ServerChoiceKind kind, std::uint64_t seed)
      : kind(kind), random(seed), two_choices(random) {}

  const ServerChoice& Choice() const {
    if (this->kind == ServerChoiceKind::kTwoChoices) return this->two_choices;
    return this->least_cost;
  }

 private:
  const ServerChoiceKind kind;
  SeededRandomSource random;
  LeastCostChoice least_cost;
  TwoRandomChoices two_choices;
};

/// Hosts that send requests to servers of two slots.
struct ReplayCase {
  std::size_t hosts = 1;
  /// Each host hears of each server's load once in this time; zero if always.
  state::Duration report_period{0};
  /// Mean service time of each server.
  std::vector<double> service_ms = {20, 20, 20};
  /// Hosts learn times from replies, as TrackedServer does; else they know the
  /// service times.
  bool learns_times = true;
  double load = 0.85;  ///< share of all slots in use
  state::Duration length = state::Milliseconds(60'000);
  std::uint64_t seed = 1;
};

struct ReplayResult {
  std::size_t requests = 0;
  /// Mean difference between the longest and shortest queue at arrivals.
  double spread = 0;
  /// Share of requests not done within five mean service times.
  double overruns = 0;
  double mean_time_ms = 0;
};

/// Replays one case in virtual time. Arrivals and the work of each request are
/// the same for each kind.
ReplayResult ReplayChoices(ServerChoiceKind kind, const ReplayCase& setup);

}  // namespace banyanknot::coordination::routing_testing

#endif  // BANYANKNOT_TEST_COORDINATION_ROUTING_CHOICE_REPLAY_H_
