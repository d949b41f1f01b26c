#ifndef BANYANKNOT_COORDINATION_QUOTA_QUOTA_ACCOUNTANT_H_
#define BANYANKNOT_COORDINATION_QUOTA_QUOTA_ACCOUNTANT_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "banyanknot/coordination/clock.h"
#include "banyanknot/coordination/metric_source.h"
#include "banyanknot/coordination/quota/accountant_directory.h"
#include "banyanknot/coordination/quota/asker_census.h"
#include "banyanknot/coordination/quota/quota_account.h"
#include "banyanknot/coordination/quota/quota_link.h"
#include "banyanknot/coordination/quota/quota_rules.h"
#include "banyanknot/coordination/routing/route_directory.h"
#include "banyanknot/state/sharded_table.h"

namespace banyanknot::coordination {

/// \brief Keeps the accounts of workspaces for the hosts of one failure domain.
///
/// Each domain has a fixed share of every quota, so domains that are cut off
/// from each other together stay within it. A domain whose share is used up
/// borrows credit of others; credit in a message that is lost is lost, never
/// doubled. Load: a workspace whose callers crowd into one domain or move
/// between domains. Thread-safe.
class QuotaAccountant : public MetricSource {
 public:
  QuotaAccountant(const Clock& clock, const RouteDirectory& routes,
                  QuotaRules rules, state::HostId own, QuotaLink& link,
                  AccountantDirectory& directory);

  /// \brief Grants credit to a host of this failure domain.
  /// \param handler always gets a grant; may run before Take() returns
  void Take(const CreditRequest& request, CreditHandler handler);

  /// \brief Grants spare credit to another failure domain.
  CreditGrant Lend(const CreditRequest& request);

  /// \brief Returns how many hosts of this failure domain are known.
  KnownHosts Known(state::TimePoint now) const {
    return this->census.Known(now);
  }
  /// \brief Starts to learn how many hosts there are, with the first quota.
  void Begin(state::TimePoint now) { this->census.Begin(now); }
  void Learn(KnownHosts known, state::TimePoint now) {
    this->census.Learn(known, now);
  }
  /// \brief Starts accounts anew, without credit, because another host has kept
  /// them until now.
  void BeginTerm(state::TimePoint now);

  void CollectMetrics(std::vector<MetricSample>& samples) const override;

 private:
  /// A request that waits for credit of other domains.
  struct Waiter {
    unsigned missing = 0;
    unsigned granted = 0;
    CreditHandler handler;
  };
  struct Account {
    QuotaAccount credit;
    std::uint64_t term = 0;  ///< in which it was opened
    bool is_borrowing = false;
    state::TimePoint dry_until;  ///< the other domains had nothing to lend
    std::vector<Waiter> waiters;
  };
  struct Loan;
  struct Settled;

  /// Returns nothing for a workspace without a limit.
  std::optional<state::Quota> QuotaOf(const CreditRequest& request) const;
  void RefillLocked(Account& account, const state::Quota& quota,
                    state::TimePoint now) const;
  void Borrow(const CreditRequest& request, const state::Quota& quota);
  void AskNext(const std::shared_ptr<Loan>& loan);
  void OnLent(const std::shared_ptr<Loan>& loan, unsigned lent);
  void RemoveIdle(state::TimePoint now);

  const Clock& clock;
  const RouteDirectory& routes;
  const QuotaRules rules;
  const state::HostId own;
  QuotaLink& link;
  AccountantDirectory& directory;
  AskerCensus census;
  std::atomic<std::uint64_t> term{1};
  std::atomic<state::TimePoint> term_began_at;
  std::atomic<std::uint64_t> granted{0};
  std::atomic<std::uint64_t> refused{0};
  std::atomic<std::uint64_t> borrowed{0};
  std::atomic<std::uint64_t> lent{0};
  std::atomic<state::TimePoint> cleaned_at;
  state::ShardedTable<state::WorkspaceId, Account> accounts;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_QUOTA_QUOTA_ACCOUNTANT_H_
