#ifndef BANYANKNOT_COORDINATION_QUERY_HEDGE_POLICY_H_
#define BANYANKNOT_COORDINATION_QUERY_HEDGE_POLICY_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "banyanknot/state/identifier.h"
#include "banyanknot/state/util/time.h"

namespace banyanknot::coordination {

/// \brief Decides when a slow attempt is hedged at another replica.
///
/// Thread-safe. Each hedge consumes a token of a budget that refills with the
/// sub-requests sent, which bounds hedges to a share of the load.
class HedgePolicy {
 public:
  virtual ~HedgePolicy() = default;

  /// \brief Returns how long an attempt stays open before it is hedged.
  /// \returns nothing if attempts of this service are not hedged now
  virtual std::optional<state::Duration> DelayOf(
      const state::ServiceId& service) = 0;

  /// \brief Consumes one token of the hedge budget.
  /// \returns false if the budget is spent
  virtual bool TryAcquire(const state::ServiceId& service) = 0;

  /// \brief Records `count` sent sub-requests, hedges excluded.
  virtual void RecordSent(const state::ServiceId& service,
                          std::size_t count) = 0;

  /// \brief Records the reply times of attempts.
  ///
  /// Cancelled attempts count with the time that they were open, which
  /// underestimates their reply time.
  virtual void RecordReplyTimes(const state::ServiceId& service,
                                const std::vector<state::Duration>& times) = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_QUERY_HEDGE_POLICY_H_
