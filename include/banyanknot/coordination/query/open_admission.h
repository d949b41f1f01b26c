#ifndef BANYANKNOT_COORDINATION_QUERY_OPEN_ADMISSION_H_
#define BANYANKNOT_COORDINATION_QUERY_OPEN_ADMISSION_H_

#include "banyanknot/coordination/query/admission_policy.h"

namespace banyanknot::coordination {

/// \brief Admits every query: the baseline.
class OpenAdmission : public AdmissionPolicy {
 public:
  AdmissionResult Admit(const state::ServiceEntry& service) override {
    return AdmissionTicket{service.id, service.service_class, 0};
  }
  void OnFinished(const AdmissionTicket& /*ticket*/,
                  const QueryEnding& /*ending*/) override {}
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_QUERY_OPEN_ADMISSION_H_
