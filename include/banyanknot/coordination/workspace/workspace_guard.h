#ifndef BANYANKNOT_COORDINATION_WORKSPACE_WORKSPACE_GUARD_H_
#define BANYANKNOT_COORDINATION_WORKSPACE_WORKSPACE_GUARD_H_

#include <atomic>
#include <cstdint>
#include <memory>

#include "banyanknot/coordination/clock.h"
#include "banyanknot/coordination/quota/quota_gate.h"
#include "banyanknot/coordination/routing/relay_journal.h"
#include "banyanknot/coordination/routing/relay_runner.h"
#include "banyanknot/coordination/routing/route_directory.h"
#include "banyanknot/coordination/workspace/caller_check.h"
#include "banyanknot/coordination/workspace/configuration_age.h"
#include "banyanknot/state/sharded_table.h"

namespace banyanknot::coordination {

/// \brief Lets only requests of known workspaces within their quotas reach
/// another runner, and names the workspace in them.
///
/// Where no workspaces are configured, requests pass unchanged. A request is
/// refused before anything of it is queued or sent. Thread-safe.
class WorkspaceGuard : public RelayRunner {
 public:
  WorkspaceGuard(const Clock& clock, const RouteDirectory& routes,
                 const ConfigurationAge& age, KeyViewLimits limits,
                 QuotaGate& quotas, RelayRunner& next, RelayJournal& journal);

  std::uint64_t Run(state::RelayRequest request,
                    RelayAnswerHandler handler) override;
  void Cancel(std::uint64_t number) override;
  void FinishBy(const StopSchedule& schedule) override;

 private:
  /// A request that waits for its quota, or runs within it.
  struct Guarded {
    std::uint64_t next_number = kNoRun;  ///< of the other runner
  };
  struct Order;

  std::uint64_t Refuse(const state::RelayRequest& request,
                       state::RelayOutcome outcome, state::Duration retry_after,
                       const RelayAnswerHandler& handler);
  std::uint64_t RunAs(const state::WorkspacePtr& workspace,
                      state::RelayRequest request, RelayAnswerHandler handler);
  void OnQuota(const std::shared_ptr<Order>& order,
               const QuotaDecision& decision);
  bool MayRefund(const Order& order, const RelayAnswer& answer) const;
  void RunAdmitted(const std::shared_ptr<Order>& order);

  const Clock& clock;
  const RouteDirectory& routes;
  const ConfigurationAge& age;
  const KeyViewLimits limits;
  QuotaGate& quotas;
  RelayRunner& next;
  RelayJournal& journal;
  std::atomic<std::uint64_t> next_number{0};
  state::ShardedTable<std::uint64_t, Guarded> guarded;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_WORKSPACE_WORKSPACE_GUARD_H_
