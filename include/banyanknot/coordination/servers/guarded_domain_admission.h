#ifndef BANYANKNOT_COORDINATION_SERVERS_GUARDED_DOMAIN_ADMISSION_H_
#define BANYANKNOT_COORDINATION_SERVERS_GUARDED_DOMAIN_ADMISSION_H_

#include "banyanknot/coordination/servers/domain_admission.h"
#include "banyanknot/coordination/view_guard.h"

namespace banyanknot::coordination {

/// \brief Limits admission to the domains for which the membership view is
/// fresh.
///
/// Thread-safe. After a pause, a host admits nothing until it refreshed its
/// view; if it can't refresh it, it admits its own failure domain only.
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
