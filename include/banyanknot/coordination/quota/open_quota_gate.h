#ifndef BANYANKNOT_COORDINATION_QUOTA_OPEN_QUOTA_GATE_H_
#define BANYANKNOT_COORDINATION_QUOTA_OPEN_QUOTA_GATE_H_

#include "banyanknot/coordination/quota/quota_gate.h"

namespace banyanknot::coordination {

/// \brief Admits every request, for a host without quota settings.
class OpenQuotaGate : public QuotaGate {
 public:
  void Acquire(const state::WorkspacePtr& /*workspace*/,
               QuotaHandler handler) override {
    handler({});
  }
  void Refund(const state::WorkspaceId& /*workspace*/) override {}
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_QUOTA_OPEN_QUOTA_GATE_H_
