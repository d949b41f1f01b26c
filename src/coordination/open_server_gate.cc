#include "banyanknot/coordination/open_server_gate.h"

namespace banyanknot::coordination {
namespace {

constexpr state::Duration kPermitValidity = state::Milliseconds(1'000);

}  // namespace

PermitResult OpenServerGate::Acquire(const state::ServerEntry& server,
                                     WorkKind /*kind*/) {
  const state::TimePoint now = this->clock.Now();
  return ServerPermit{server.id, now, now + kPermitValidity, false};
}

void OpenServerGate::Release(const ServerPermit& /*permit*/,
                             const BackendResult& /*result*/) {}

}  // namespace banyanknot::coordination
