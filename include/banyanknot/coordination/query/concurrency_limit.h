#ifndef BANYANKNOT_COORDINATION_QUERY_CONCURRENCY_LIMIT_H_
#define BANYANKNOT_COORDINATION_QUERY_CONCURRENCY_LIMIT_H_

#include <cstdint>

#include "banyanknot/state/util/time.h"

namespace banyanknot::coordination {

/// \brief Evidence of overload in the completion of one query.
enum class Congestion {
  kNone,            ///< answered in about the baseline time
  kSlow,            ///< answered, but slowly; stragglers alone can cause that
  kTimedOutOrShed,  ///< missed its deadline, or servers shed attempts
};

/// \brief Adaptive limit of sub-requests in flight at this host (AIMD).
///
/// Increases additively while there is no congestion and the limit is nearly
/// used; decreases by a factor when too many queries show congestion. Adjusted
/// once per window. Not thread-safe.
class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(state::TimePoint now) : window_start(now) {}

  double Value() const { return this->value; }

  /// \brief Records the completion of one query.
  /// \param in_flight sub-requests in flight as it completed, including its own
  /// \param protected_load lower bound when the limit decreases
  void RecordCompletion(state::TimePoint now, Congestion congestion,
                        double in_flight, double protected_load);

 private:
  void AdjustLimit(state::TimePoint now, double protected_load);

  double value = 16'384;
  state::TimePoint window_start;
  double peak_in_flight = 0;
  std::uint32_t completions = 0;
  double congestion_sum = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_QUERY_CONCURRENCY_LIMIT_H_
