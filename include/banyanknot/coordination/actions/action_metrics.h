#ifndef BANYANKNOT_COORDINATION_ACTIONS_ACTION_METRICS_H_
#define BANYANKNOT_COORDINATION_ACTIONS_ACTION_METRICS_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <vector>

#include "banyanknot/coordination/actions/action_executor.h"
#include "banyanknot/coordination/actions/ticket_table.h"
#include "banyanknot/coordination/metric_source.h"
#include "banyanknot/state/outcome.h"

namespace banyanknot::coordination {

/// \brief Counts tickets and the outcomes of actions.
///
/// Thread-safe.
class ActionMetrics : public MetricSource {
 public:
  ActionMetrics(const TicketTable& tickets, const ActionExecutor& executor)
      : tickets(tickets), executor(executor) {}

  void RecordTicket() { ++this->tickets_issued; }
  void RecordOutcome(state::Outcome outcome);
  void CollectMetrics(std::vector<MetricSample>& samples) const override;

 private:
  const TicketTable& tickets;
  const ActionExecutor& executor;
  std::atomic<std::uint64_t> tickets_issued{0};
  std::array<std::atomic<std::uint64_t>, state::kOutcomeNames.size()>
      outcomes{};
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ACTIONS_ACTION_METRICS_H_
