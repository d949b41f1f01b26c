#ifndef BANYANKNOT_COORDINATION_SERVER_GATE_H_
#define BANYANKNOT_COORDINATION_SERVER_GATE_H_

#include <cstdint>
#include <optional>

#include "banyanknot/coordination/backend_client.h"
#include "banyanknot/coordination/gate_refusal.h"
#include "banyanknot/coordination/work_kind.h"
#include "banyanknot/state/catalogue.h"
#include "banyanknot/state/result.h"
#include "banyanknot/state/util/time.h"

namespace banyanknot::coordination {

/// \brief Permission to send one sub-request to one server.
struct ServerPermit {
  state::ServerId server;
  state::TimePoint granted_at;
  state::TimePoint valid_until;  ///< deadline for writing the request
  bool is_cold = false;          ///< counts against the server's cold slots
};

using PermitResult = state::Result<ServerPermit, GateRefusal>;

/// \brief Decides whether a server may get new work from this host now.
///
/// Thread-safe. Checks the state of the failure domain, the server's phase and
/// this host's share of its slots; independent of queries.
class ServerGate {
 public:
  virtual ~ServerGate() = default;

  /// \brief Returns a permit for one sub-request, or why it is refused.
  ///
  /// Each permit must be returned through Release().
  virtual PermitResult Acquire(const state::ServerEntry& server,
                               WorkKind kind) = 0;

  /// \brief Returns a permit and records the result of its sub-request.
  virtual void Release(const ServerPermit& permit,
                       const BackendResult& result) = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_SERVER_GATE_H_
