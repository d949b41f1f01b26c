#include "banyanknot/coordination/routing/extra_request_budget.h"

namespace banyanknot::coordination {

void ExtraRequestBudget::RecordRequest(const state::ServiceId& service,
                                       state::TimePoint now) {
  this->usage.Update(service, [now](Usage& used) { used.requests.Add(now); });
}

bool ExtraRequestBudget::TryAcquire(const state::ServiceId& service,
                                    state::TimePoint now) {
  return this->usage.Update(service, [this, now](Usage& used) {
    const double allowed =
        this->limits.share * used.requests.Total(now) + this->limits.fixed;
    if (used.extras.Total(now) + 1 > allowed) return false;
    used.extras.Add(now);
    return true;
  });
}

}  // namespace banyanknot::coordination
