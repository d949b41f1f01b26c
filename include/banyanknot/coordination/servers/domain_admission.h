#ifndef BANYANKNOT_COORDINATION_SERVERS_DOMAIN_ADMISSION_H_
#define BANYANKNOT_COORDINATION_SERVERS_DOMAIN_ADMISSION_H_

#include <optional>

#include "banyanknot/coordination/gate_refusal.h"
#include "banyanknot/state/identifier.h"

namespace banyanknot::coordination {

/// \brief Decides whether servers of a failure domain may get new work.
///
/// Thread-safe.
class DomainAdmission {
 public:
  virtual ~DomainAdmission() = default;

  /// \returns kDomainOut or kViewSuspect; nullopt if the domain is admitted
  virtual std::optional<GateRefusal> Check(
      const state::FailureDomainId& domain) = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_SERVERS_DOMAIN_ADMISSION_H_
