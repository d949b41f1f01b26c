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

/// \brief Leave to send one sub-request to one server.
struct ServerPermit {
  state::ServerId server;
  state::TimePoint granted_at;
  state::TimePoint valid_until;  ///< the request must be written before this
  bool is_cold = false;          ///< counts against the server's cold slots
};

using PermitResult = state::Result<ServerPermit, GateRefusal>;

/// \brief Decides whether a server may get new work from this host now.
///
/// Thread-safe. Covers failure domains taken out, leaving and cold servers,
/// and this host's share of slots; knows nothing of queries.
class ServerGate {
 public:
  virtual ~ServerGate() = default;

  /// \brief Asks for leave to send one sub-request now.
  ///
  /// Each permit must be given back by Release().
  virtual PermitResult Acquire(const state::ServerEntry& server,
                               WorkKind kind) = 0;

  /// \brief Gives a permit back and tells how the work ended.
  virtual void Release(const ServerPermit& permit,
                       const BackendResult& result) = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_SERVER_GATE_H_
