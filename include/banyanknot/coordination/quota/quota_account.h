#ifndef BANYANKNOT_COORDINATION_QUOTA_QUOTA_ACCOUNT_H_
#define BANYANKNOT_COORDINATION_QUOTA_QUOTA_ACCOUNT_H_

#include "banyanknot/coordination/quota/quota_share.h"
#include "banyanknot/state/util/time.h"

namespace banyanknot::coordination {

/// \brief The credit of one workspace in one failure domain.
///
/// Starts without credit: an account that is lost and opened anew must not give
/// out a burst twice. Restart() comes before the first use. Not thread-safe.
class QuotaAccount {
 public:
  /// \brief Drops credit, but not debt, since another account has been in use;
  /// accrues from `now` on.
  void Restart(state::TimePoint now);

  /// \brief Sets the share and the part of it that accrues here, from now on.
  /// \param fraction of the domain's hosts that this account serves, 0 to 1
  void Refill(const QuotaShare& share, double fraction, state::TimePoint now);

  /// \brief Takes credit for up to `wanted` requests.
  /// \returns how many requests are granted
  unsigned Take(unsigned wanted, state::TimePoint now);
  /// \brief Takes credit that this domain doesn't need soon, for another.
  unsigned Lend(unsigned wanted);
  /// \brief Adds credit that another domain lent or that was not used.
  void Add(unsigned credit);

  /// \brief Returns after which time a refused request may find credit. Each
  /// call gets a later time, so that those refused come back one by one.
  /// \param rate at which credit returns for the workspace, per second
  state::Duration RetryAfter(double rate, state::TimePoint now);

  /// \brief Returns true once there is less credit than the domain is about to
  /// need, so that some should be borrowed.
  bool IsShort() const;
  state::TimePoint RefilledAt() const { return this->refilled_at; }
  double Credit() const { return this->credit; }

 private:
  /// Credit that the domain is about to need.
  double ExpectedNeed() const;
  void CountDemand(unsigned wanted, state::TimePoint now);

  QuotaShare share;
  double credit = 0;
  double demand_per_s = 0;  // moving average of what was asked for
  state::TimePoint demand_at;
  state::TimePoint refilled_at;
  state::TimePoint opened_at;
  state::TimePoint next_return;  // of credit that no refusal names yet
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_QUOTA_QUOTA_ACCOUNT_H_
