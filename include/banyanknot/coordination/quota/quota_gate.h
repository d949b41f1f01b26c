#ifndef BANYANKNOT_COORDINATION_QUOTA_QUOTA_GATE_H_
#define BANYANKNOT_COORDINATION_QUOTA_QUOTA_GATE_H_

#include <functional>

#include "banyanknot/state/routing/workspace.h"
#include "banyanknot/state/util/time.h"

namespace banyanknot::coordination {

/// \brief Whether a request is within its workspace's quota.
struct QuotaDecision {
  bool is_admitted = true;
  state::Duration retry_after{0};  ///< until credit returns, if not admitted
};

using QuotaHandler = std::function<void(const QuotaDecision&)>;

/// \brief Takes credit from the quotas of workspaces. Thread-safe.
class QuotaGate {
 public:
  virtual ~QuotaGate() = default;

  /// \brief Takes the credit of one request.
  /// \param handler called exactly once, possibly before Acquire() returns
  virtual void Acquire(const state::WorkspacePtr& workspace,
                       QuotaHandler handler) = 0;

  /// \brief Gives back the credit of a request that was admitted just now and
  /// reached no server.
  virtual void Refund(const state::WorkspaceId& workspace) = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_QUOTA_QUOTA_GATE_H_
