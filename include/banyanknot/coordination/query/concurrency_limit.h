#ifndef BANYANKNOT_COORDINATION_QUERY_CONCURRENCY_LIMIT_H_
#define BANYANKNOT_COORDINATION_QUERY_CONCURRENCY_LIMIT_H_

#include <cstdint>

#include "banyanknot/state/util/time.h"

namespace banyanknot::coordination {

/// \brief How strongly the ending of a query speaks for overload.
enum class Congestion {
  kNone,  ///< answered in about the usual time
  kSlow,  ///< answered, but late; stragglers alone can do that
  kLost,  ///< not answered in time, or refused by servers as overloaded
};

/// \brief How many sub-requests this host keeps in flight, found by trial.
///
/// Grows additively while queries end well and the limit is used, shrinks by
/// a factor when too many end badly (AIMD). Judges once a window.
/// Not thread-safe.
class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(state::TimePoint now) : window_start(now) {}

  double Value() const { return this->value; }

  /// \brief Takes one query's ending into account.
  /// \param congestion how it ended, as a sign of overload
  /// \param in_flight sub-requests in flight as it ended, its own too
  /// \param protected_load the limit does not shrink below this
  void Observe(state::TimePoint now, Congestion congestion, double in_flight,
               double protected_load);

 private:
  void CloseWindow(state::TimePoint now, double protected_load);

  double value = 16'384;
  state::TimePoint window_start;
  double peak_in_flight = 0;
  std::uint32_t endings = 0;
  double congestion_sum = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_QUERY_CONCURRENCY_LIMIT_H_
