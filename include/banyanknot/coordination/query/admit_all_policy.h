#ifndef BANYANKNOT_COORDINATION_QUERY_ADMIT_ALL_POLICY_H_
#define BANYANKNOT_COORDINATION_QUERY_ADMIT_ALL_POLICY_H_

#include "banyanknot/coordination/query/admission_policy.h"

namespace banyanknot::coordination {

/// \brief Baseline: admits every query.
class AdmitAllPolicy : public AdmissionPolicy {
 public:
  AdmissionResult Admit(const state::ServiceEntry& service) override {
    return AdmissionTicket{service.id, service.service_class, 0};
  }
  void OnFinished(const AdmissionTicket& /*ticket*/,
                  const QueryCompletion& /*ending*/) override {}
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_QUERY_ADMIT_ALL_POLICY_H_
