#include "banyanknot/coordination/quota/quota_account.h"

#include <algorithm>
#include <cmath>

namespace banyanknot::coordination {
namespace {

/// The demand of about this many seconds counts.
constexpr double kDemandWindowS = 2;
/// Credit kept back for the domain's own requests.
constexpr double kNeedAheadS = 0.5;
/// Callers learn within this time if there is credit again, at the latest.
constexpr state::Duration kMaxRetryAfter = state::Milliseconds(5'000);
constexpr state::Duration kMinRetryAfter = state::Milliseconds(50);

double SecondsOf(state::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void QuotaAccount::Refill(const QuotaShare& new_share, double fraction,
                          state::TimePoint now) {
  const double elapsed_s = std::max(0.0, SecondsOf(now - this->refilled_at));
  this->refilled_at = std::max(this->refilled_at, now);
  // Borrowed credit stays, but not that of a quota that has been lowered.
  if (new_share.capacity < this->share.capacity) {
    this->credit = std::min(this->credit, new_share.capacity);
  }
  this->share = new_share;
  // Borrowed credit may exceed the capacity; what accrues may not.
  const double room = std::max(0.0, new_share.capacity - this->credit);
  this->credit += std::min(room, new_share.rate * fraction * elapsed_s);
  // The account's predecessors may have used theirs within the same window.
  const double age =
      new_share.window.count() == 0
          ? 1
          : SecondsOf(now - this->opened_at) / SecondsOf(new_share.window);
  this->share.overdraft *= fraction * std::clamp(age, 0.0, 1.0);
}

void QuotaAccount::CountDemand(unsigned wanted, state::TimePoint now) {
  const double elapsed_s = std::max(0.0, SecondsOf(now - this->demand_at));
  this->demand_at = now;
  this->demand_per_s =
      this->demand_per_s * std::exp(-elapsed_s / kDemandWindowS) +
      wanted / kDemandWindowS;
}

unsigned QuotaAccount::Take(unsigned wanted, state::TimePoint now) {
  this->CountDemand(wanted, now);
  const double available = std::max(0.0, this->credit + this->share.overdraft);
  const unsigned granted =
      std::min(wanted, static_cast<unsigned>(std::min(available, 1e6)));
  this->credit -= granted;
  return granted;
}

double QuotaAccount::ExpectedNeed() const {
  return std::min(this->demand_per_s * kNeedAheadS, this->share.capacity);
}

bool QuotaAccount::IsShort() const {
  return this->credit < this->ExpectedNeed();
}

unsigned QuotaAccount::Lend(unsigned wanted) {
  const double spare =
      std::max(0.0, this->credit - std::floor(this->ExpectedNeed()));
  const unsigned lent =
      std::min(wanted, static_cast<unsigned>(std::min(spare, 1e6)));
  this->credit -= lent;
  return lent;
}

void QuotaAccount::Restart(state::TimePoint now) {
  this->credit = std::min(0.0, this->credit);
  this->refilled_at = now;
  this->opened_at = now;
}

void QuotaAccount::Add(unsigned added) { this->credit += added; }

state::Duration QuotaAccount::RetryAfter(double rate, state::TimePoint now) {
  if (rate <= 0) return kMaxRetryAfter;
  const state::Duration interval =
      state::FromFractionalMilliseconds(std::min(1e3 / rate, 1e6));
  const state::TimePoint latest = now + kMaxRetryAfter;
  this->next_return =
      std::min(std::max(now, this->next_return) + interval, latest);
  return std::max(this->next_return - now, kMinRetryAfter);
}

}  // namespace banyanknot::coordination
