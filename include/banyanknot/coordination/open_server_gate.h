#ifndef BANYANKNOT_COORDINATION_OPEN_SERVER_GATE_H_
#define BANYANKNOT_COORDINATION_OPEN_SERVER_GATE_H_

#include "banyanknot/coordination/clock.h"
#include "banyanknot/coordination/server_gate.h"

namespace banyanknot::coordination {

/// \brief Admits every sub-request; the baseline for comparing other gates.
class OpenServerGate : public ServerGate {
 public:
  explicit OpenServerGate(const Clock& clock) : clock(clock) {}

  PermitResult Acquire(const state::ServerEntry& server,
                       WorkKind kind) override;
  void Release(const ServerPermit& permit,
               const BackendResult& result) override;

 private:
  const Clock& clock;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_OPEN_SERVER_GATE_H_
