#include "banyanknot/coordination/servers/guarded_domain_admission.h"

#include <utility>

namespace banyanknot::coordination {

GuardedDomainAdmission::GuardedDomainAdmission(ViewGuard& guard,
                                               state::FailureDomainId own,
                                               DomainAdmission& next)
    : guard(guard), own(std::move(own)), next(next) {}

std::optional<GateRefusal> GuardedDomainAdmission::Check(
    const state::FailureDomainId& domain) {
  const ViewFreshness freshness = this->guard.Freshness();
  const bool is_trusted =
      freshness == ViewFreshness::kFresh ||
      (freshness == ViewFreshness::kOwnDomainOnly && domain == this->own);
  if (!is_trusted) return GateRefusal::kViewSuspect;
  return this->next.Check(domain);
}

}  // namespace banyanknot::coordination
