#include "banyanknot/coordination/quota/quota_accountant.h"

#include <algorithm>
#include <memory>
#include <string>
#include <utility>

namespace banyanknot::coordination {
namespace {

/// Several times a round trip between failure domains, well within the
/// objectives of callers.
constexpr state::Duration kBorrowTimeout = state::Milliseconds(10);
/// After all other domains had nothing to lend, they are not asked again for
/// this long.
constexpr state::Duration kDryTime = state::Milliseconds(150);
/// An account that is idle for longer has all the credit that it can keep.
constexpr state::Duration kIdleLifetime = state::Milliseconds(120'000);
constexpr state::Duration kCleaningInterval = state::Milliseconds(10'000);

}  // namespace

/// Credit that is being borrowed for one workspace.
struct QuotaAccountant::Loan {
  CreditRequest request;
  state::Quota quota;
  std::vector<state::HostAdvert> lenders;
  std::size_t next_lender = 0;
  unsigned lent = 0;
};

/// A waiter whose request is decided.
struct QuotaAccountant::Settled {
  CreditHandler handler;
  CreditGrant grant;
};

QuotaAccountant::QuotaAccountant(const Clock& clock,
                                 const RouteDirectory& routes, QuotaRules rules,
                                 state::HostId own, QuotaLink& link,
                                 AccountantDirectory& directory)
    : clock(clock),
      routes(routes),
      rules(std::move(rules)),
      own(own),
      link(link),
      directory(directory),
      census(std::move(own), clock.Now()),
      term_began_at(clock.Now()),
      cleaned_at(clock.Now()) {}

void QuotaAccountant::BeginTerm(state::TimePoint now) {
  this->term_began_at = now;
  ++this->term;
}

std::optional<state::Quota> QuotaAccountant::QuotaOf(
    const CreditRequest& request) const {
  const state::RouteTablePtr table = this->routes.Current();
  if (table == nullptr || table->Version() < request.routes_version) {
    return request.quota;
  }
  const state::WorkspacePtr workspace =
      table->FindWorkspaceById(request.workspace);
  // Hosts with an older version go on serving it.
  if (workspace == nullptr) return request.quota;
  return workspace->quota;
}

void QuotaAccountant::RefillLocked(Account& account, const state::Quota& quota,
                                   state::TimePoint now) const {
  const std::uint64_t current_term = this->term;
  if (account.term != current_term) {
    account.credit.Restart(this->term_began_at);
    account.term = current_term;
  }
  account.credit.Refill(ShareOf(quota, this->rules), this->census.Fraction(now),
                        now);
}

void QuotaAccountant::Take(const CreditRequest& request,
                           CreditHandler handler) {
  const state::TimePoint now = this->clock.Now();
  if (request.host != this->own) {
    this->census.Record(request.host, request.known_hosts, now);
  }
  CreditGrant grant;
  grant.known_hosts = this->census.Known(now);
  if (request.workspace.IsEmpty() || request.count == 0) {
    handler(grant);
    return;
  }
  const std::optional<state::Quota> quota = this->QuotaOf(request);
  if (!quota || !quota->IsLimited()) {
    grant.granted = request.count;
    handler(grant);
    return;
  }
  const bool may_borrow = !this->directory.OtherAccountants(now).empty();
  bool needs_loan = false;
  bool waits = false;
  this->accounts.Update(request.workspace, [&](Account& account) {
    this->RefillLocked(account, *quota, now);
    grant.granted = account.credit.Take(request.count, now);
    const unsigned missing = request.count - grant.granted;
    const bool can_borrow =
        may_borrow && (account.is_borrowing || now >= account.dry_until);
    waits = missing > 0 && can_borrow;
    if (waits) {
      account.waiters.push_back({missing, grant.granted, handler});
    } else if (missing > 0) {
      grant.retry_after = account.credit.RetryAfter(quota->rate, now);
    }
    needs_loan = can_borrow && !account.is_borrowing &&
                 (missing > 0 || account.credit.IsShort());
    if (needs_loan) account.is_borrowing = true;
  });
  this->granted += grant.granted;
  if (!waits) {
    this->refused += request.count - grant.granted;
    handler(grant);
  }
  if (needs_loan) this->Borrow(request, *quota);
  this->RemoveIdle(now);
}

CreditGrant QuotaAccountant::Lend(const CreditRequest& request) {
  const state::TimePoint now = this->clock.Now();
  CreditGrant grant;
  const std::optional<state::Quota> quota = this->QuotaOf(request);
  if (!quota || !quota->IsLimited()) return grant;
  this->accounts.Update(request.workspace, [&](Account& account) {
    this->RefillLocked(account, *quota, now);
    grant.granted = account.credit.Lend(request.count);
  });
  this->lent += grant.granted;
  return grant;
}

void QuotaAccountant::Borrow(const CreditRequest& request,
                             const state::Quota& quota) {
  const std::shared_ptr<Loan> loan = std::make_shared<Loan>();
  loan->request = request;
  loan->request.action = CreditAction::kBorrow;
  loan->request.host = this->own;
  loan->quota = quota;
  loan->request.quota = quota;
  loan->lenders = this->directory.OtherAccountants(this->clock.Now());
  if (!loan->lenders.empty()) {
    // Each domain is asked first as often as the others.
    const std::size_t first = this->borrowed % loan->lenders.size();
    std::rotate(loan->lenders.begin(),
                loan->lenders.begin() + static_cast<std::ptrdiff_t>(first),
                loan->lenders.end());
  }
  this->AskNext(loan);
}

void QuotaAccountant::AskNext(const std::shared_ptr<Loan>& loan) {
  if (loan->next_lender >= loan->lenders.size()) {
    this->OnLent(loan, 0);
    return;
  }
  unsigned wanted = 0;
  this->accounts.ReadIfPresent(loan->request.workspace,
                               [&wanted](const Account& account) {
                                 for (const Waiter& waiter : account.waiters) {
                                   wanted += waiter.missing;
                                 }
                               });
  loan->request.count = wanted + 1;  // one ahead of the next request
  const state::HostAdvert& lender = loan->lenders[loan->next_lender++];
  this->link.AskCredit(lender.endpoint, loan->request, kBorrowTimeout,
                       [this, loan](const std::optional<CreditGrant>& grant) {
                         this->OnLent(loan, grant ? grant->granted : 0);
                       });
}

void QuotaAccountant::OnLent(const std::shared_ptr<Loan>& loan, unsigned lent) {
  const state::TimePoint now = this->clock.Now();
  loan->lent += lent;
  this->borrowed += lent;
  const bool is_last = loan->next_lender >= loan->lenders.size();
  bool asks_on = false;
  std::vector<Settled> settled;
  this->accounts.Update(loan->request.workspace, [&](Account& account) {
    this->RefillLocked(account, loan->quota, now);
    account.credit.Add(lent);
    std::vector<Waiter> waiting;
    waiting.swap(account.waiters);
    for (Waiter& waiter : waiting) {
      const unsigned taken = account.credit.Take(waiter.missing, now);
      waiter.granted += taken;
      waiter.missing -= taken;
      if (waiter.missing > 0 && !is_last) {
        account.waiters.push_back(std::move(waiter));
        continue;
      }
      CreditGrant grant;
      grant.granted = waiter.granted;
      grant.known_hosts = this->census.Known(now);
      if (waiter.missing > 0) {
        grant.retry_after = account.credit.RetryAfter(loan->quota.rate, now);
      }
      this->granted += taken;
      this->refused += waiter.missing;
      settled.push_back({std::move(waiter.handler), grant});
    }
    asks_on = !is_last && !account.waiters.empty();
    if (asks_on) return;
    account.is_borrowing = false;
    if (loan->lent == 0) account.dry_until = now + kDryTime;
  });
  for (const Settled& waiter : settled) waiter.handler(waiter.grant);
  if (asks_on) this->AskNext(loan);
}

void QuotaAccountant::RemoveIdle(state::TimePoint now) {
  state::TimePoint last = this->cleaned_at;
  if (now - last < kCleaningInterval ||
      !this->cleaned_at.compare_exchange_strong(last, now)) {
    return;
  }
  this->accounts.RemoveIf(
      [now](const state::WorkspaceId& /*id*/, const Account& account) {
        return !account.is_borrowing &&
               now - account.credit.RefilledAt() > kIdleLifetime;
      });
}

void QuotaAccountant::CollectMetrics(std::vector<MetricSample>& samples) const {
  const auto add = [&samples](const char* name, const char* help,
                              MetricKind kind, double value) {
    samples.push_back({name, help, kind, {}, value});
  };
  const state::TimePoint now = this->clock.Now();
  add("banyanknot_quota_granted_requests_total",
      "Requests granted from the accounts that this host keeps.",
      MetricKind::kCounter, static_cast<double>(this->granted));
  add("banyanknot_quota_refused_requests_total",
      "Requests over their workspace's quota, at the accounts of this host.",
      MetricKind::kCounter, static_cast<double>(this->refused));
  add("banyanknot_quota_borrowed_requests_total",
      "Credit that other failure domains lent, in requests.",
      MetricKind::kCounter, static_cast<double>(this->borrowed));
  add("banyanknot_quota_lent_requests_total",
      "Credit lent to other failure domains, in requests.",
      MetricKind::kCounter, static_cast<double>(this->lent));
  add("banyanknot_quota_accounts", "Workspaces that have an account here.",
      MetricKind::kGauge, static_cast<double>(this->accounts.Size()));
  add("banyanknot_quota_known_hosts",
      "Hosts of this failure domain that are known to ask for credit.",
      MetricKind::kGauge, static_cast<double>(this->census.Known(now).count));
  add("banyanknot_quota_served_share_ratio",
      "Part of those hosts that ask this one.", MetricKind::kGauge,
      this->census.Fraction(now));
}

}  // namespace banyanknot::coordination
