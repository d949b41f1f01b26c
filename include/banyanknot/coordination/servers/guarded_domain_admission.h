#ifndef BANYANKNOT_COORDINATION_SERVERS_GUARDED_DOMAIN_ADMISSION_H_
#define BANYANKNOT_COORDINATION_SERVERS_GUARDED_DOMAIN_ADMISSION_H_

#include "banyanknot/coordination/servers/domain_admission.h"
#include "banyanknot/coordination/view_guard.h"

namespace banyanknot::coordination {

/// \brief Admits failure domains only as far as this host's view is trusted.
///
/// Thread-safe. A host that was paused admits nothing until its view is
/// refreshed; one that can't refresh it admits its own failure domain.
class GuardedDomainAdmission : public DomainAdmission {
 public:
  GuardedDomainAdmission(ViewGuard& guard, state::FailureDomainId own,
                         DomainAdmission& next);
  std::optional<GateRefusal> Check(
      const state::FailureDomainId& domain) override;

 private:
  ViewGuard& guard;
  const state::FailureDomainId own;
  DomainAdmission& next;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_SERVERS_GUARDED_DOMAIN_ADMISSION_H_
