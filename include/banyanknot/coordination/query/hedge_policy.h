#ifndef BANYANKNOT_COORDINATION_QUERY_HEDGE_POLICY_H_
#define BANYANKNOT_COORDINATION_QUERY_HEDGE_POLICY_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "banyanknot/state/identifier.h"
#include "banyanknot/state/util/time.h"

namespace banyanknot::coordination {

/// \brief Decides when a slow attempt gets a second one at another replica.
///
/// Thread-safe. A hedge takes one from a budget, which grows with the
/// sub-requests sent, so that hedges stay a bounded share of the load.
class HedgePolicy {
 public:
  virtual ~HedgePolicy() = default;

  /// \brief How long an attempt may be open before it is hedged.
  /// \returns nothing if attempts at this service are not to be hedged now
  virtual std::optional<state::Duration> DelayOf(
      const state::ServiceId& service) = 0;

  /// \brief Takes one hedge from the budget.
  /// \returns false if the budget is spent
  virtual bool TryTake(const state::ServiceId& service) = 0;

  /// \brief Tells that `count` sub-requests other than hedges were sent.
  virtual void OnSent(const state::ServiceId& service, std::size_t count) = 0;

  /// \brief Tells how long attempts took.
  ///
  /// Attempts that were cancelled count with the time that they were open,
  /// which is less than what they would have taken.
  virtual void OnReplyTimes(const state::ServiceId& service,
                            const std::vector<state::Duration>& times) = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_QUERY_HEDGE_POLICY_H_
