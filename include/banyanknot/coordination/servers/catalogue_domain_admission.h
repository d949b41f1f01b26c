#ifndef BANYANKNOT_COORDINATION_SERVERS_CATALOGUE_DOMAIN_ADMISSION_H_
#define BANYANKNOT_COORDINATION_SERVERS_CATALOGUE_DOMAIN_ADMISSION_H_

#include "banyanknot/coordination/servers/domain_admission.h"
#include "banyanknot/state/catalogue_table.h"

namespace banyanknot::coordination {

/// \brief Admits the failure domains that the catalogue does not mark as out.
class CatalogueDomainAdmission : public DomainAdmission {
 public:
  explicit CatalogueDomainAdmission(const state::CatalogueTable& catalogue)
      : catalogue(catalogue) {}
  std::optional<GateRefusal> Check(
      const state::FailureDomainId& domain) override;

 private:
  const state::CatalogueTable& catalogue;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_SERVERS_CATALOGUE_DOMAIN_ADMISSION_H_
