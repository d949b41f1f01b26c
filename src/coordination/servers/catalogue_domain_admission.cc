#include "banyanknot/coordination/servers/catalogue_domain_admission.h"

namespace banyanknot::coordination {

std::optional<GateRefusal> CatalogueDomainAdmission::Check(
    const state::FailureDomainId& domain) {
  if (this->catalogue.FindDomainState(domain) == state::DomainState::kOut) {
    return GateRefusal::kDomainOut;
  }
  return std::nullopt;
}

}  // namespace banyanknot::coordination
