#ifndef BANYANKNOT_COORDINATION_ROUTING_RELAY_JOURNAL_H_
#define BANYANKNOT_COORDINATION_ROUTING_RELAY_JOURNAL_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <vector>

#include "banyanknot/coordination/event_log.h"
#include "banyanknot/coordination/metric_source.h"
#include "banyanknot/coordination/routing/relay_run.h"
#include "banyanknot/state/routing/relay_outcome.h"

namespace banyanknot::coordination {

/// \brief Records the outcomes of requests for the log and the metrics.
///
/// Logs a sample of the successful requests and all others, up to a limit on
/// lines per second. Requests left out because of the limit are counted.
/// Thread-safe.
class RelayJournal : public MetricSource {
 public:
  explicit RelayJournal(EventLog& log) : log(log) {}

  /// \brief Records the answer of a run.
  void RecordAnswer(const RelayRun& run, const RelayAnswer& answer,
                    state::TimePoint now);
  /// \brief Records a request that was rejected without a run.
  /// \param table the routes that decided it; may be null
  void RecordRefusal(const state::RelayRequest& request,
                     state::RelayOutcome outcome,
                     const state::RouteTablePtr& table, state::TimePoint now);

  void CollectMetrics(std::vector<MetricSample>& samples) const override;

 private:
  static constexpr std::size_t kOutcomes = state::kRelayOutcomeNames.size();
  /// Upper bounds of the latency histogram, in milliseconds.
  static constexpr std::array<int, 10> kBoundsMs{5,   10,  25,  50,   100,
                                                 150, 250, 500, 1000, 4000};

  bool MayLog(state::RelayOutcome outcome, state::TimePoint now);
  void Count(state::RelayOutcome outcome, state::Duration time);

  EventLog& log;
  mutable std::mutex mutex;
  std::array<std::uint64_t, kOutcomes> outcome_counts{};
  std::array<std::uint64_t, kBoundsMs.size() + 1> duration_counts{};
  double total_seconds = 0;
  RelayCounts totals;
  std::uint64_t unlogged = 0;
  std::uint64_t successes = 0;
  std::int64_t log_second = 0;
  unsigned logged_in_second = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_RELAY_JOURNAL_H_
