#include "banyanknot/coordination/actions/action_metrics.h"

#include <cstddef>
#include <string>

namespace banyanknot::coordination {

void ActionMetrics::RecordOutcome(state::Outcome outcome) {
  ++this->outcomes[static_cast<std::size_t>(outcome)];
}

void ActionMetrics::CollectMetrics(std::vector<MetricSample>& samples) const {
  for (const state::EnumName<state::Outcome>& row : state::kOutcomeNames) {
    const std::uint64_t count =
        this->outcomes[static_cast<std::size_t>(row.value)];
    samples.push_back({"banyanknot_actions_total",
                       "Requests that may not be repeated, by outcome.",
                       MetricKind::kCounter,
                       {{"outcome", std::string(row.name)}},
                       static_cast<double>(count)});
  }
  samples.push_back({"banyanknot_tickets_issued_total",
                     "Tickets issued.",
                     MetricKind::kCounter,
                     {},
                     static_cast<double>(this->tickets_issued)});
  samples.push_back({"banyanknot_tickets_remembered",
                     "Tickets remembered.",
                     MetricKind::kGauge,
                     {},
                     static_cast<double>(this->tickets.Size())});
  samples.push_back({"banyanknot_actions_in_flight",
                     "Actions that have no outcome yet.",
                     MetricKind::kGauge,
                     {},
                     static_cast<double>(this->executor.InFlight())});
}

}  // namespace banyanknot::coordination
