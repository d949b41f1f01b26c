#include "relay_host_metrics.h"

namespace banyanknot::daemons {

void RelayHostMetrics::CollectMetrics(
    std::vector<coordination::MetricSample>& samples) const {
  const state::RouteTablePtr table = this->routes.Current();
  samples.push_back({"banyanknot_host_ready",
                     "1 while the host asks for callers, 0 otherwise.",
                     coordination::MetricKind::kGauge,
                     {},
                     this->readiness.IsReady() ? 1.0 : 0.0});
  samples.push_back(
      {"banyanknot_routes_version",
       "Version of the routes in force; 0 before the first.",
       coordination::MetricKind::kGauge,
       {},
       table == nullptr ? 0.0 : static_cast<double>(table->Version())});
  samples.push_back({"banyanknot_relay_requests_in_flight",
                     "Requests without an answer yet.",
                     coordination::MetricKind::kGauge,
                     {},
                     static_cast<double>(this->executor.Unanswered())});
  const coordination::ServerChoiceCounts choices = this->servers.CountChoices();
  samples.push_back({"banyanknot_relay_own_domain_choices_total",
                     "Servers of the own failure domain chosen for requests.",
                     coordination::MetricKind::kCounter,
                     {},
                     static_cast<double>(choices.own_domain)});
  samples.push_back({"banyanknot_relay_other_domain_choices_total",
                     "Servers of other failure domains chosen for requests.",
                     coordination::MetricKind::kCounter,
                     {},
                     static_cast<double>(choices.other_domain)});
  samples.push_back({"banyanknot_log_records_dropped_total",
                     "Log lines dropped because their queue was full.",
                     coordination::MetricKind::kCounter,
                     {},
                     static_cast<double>(this->log.Dropped())});
  samples.push_back({"banyanknot_failed_handlers_total",
                     "Events whose handling ended with an exception.",
                     coordination::MetricKind::kCounter,
                     {},
                     static_cast<double>(this->threads.FailedHandlers())});
  samples.push_back({"banyanknot_relay_receiving_bytes",
                     "Bytes held for replies that are still being received.",
                     coordination::MetricKind::kGauge,
                     {},
                     static_cast<double>(this->receive_budget.Reserved())});
  samples.push_back({"banyanknot_relay_replies_cut_total",
                     "Replies cut off because all together held too much.",
                     coordination::MetricKind::kCounter,
                     {},
                     static_cast<double>(this->receive_budget.Refusals())});
  samples.push_back({"banyanknot_caller_memory_bytes",
                     "Bytes that callers make this host hold.",
                     coordination::MetricKind::kGauge,
                     {},
                     static_cast<double>(this->caller_memory.HeldBytes())});
  samples.push_back({"banyanknot_callers_gave_way_total",
                     "Callers cut off because all together held too much.",
                     coordination::MetricKind::kCounter,
                     {},
                     static_cast<double>(this->caller_memory.GaveWay())});
  samples.push_back({"banyanknot_callers_without_memory_total",
                     "Requests refused because callers held too much.",
                     coordination::MetricKind::kCounter,
                     {},
                     static_cast<double>(this->caller_memory.Refusals())});
  samples.push_back(
      {"banyanknot_callers_displaced_total",
       "Waiting connections of callers closed for new ones.",
       coordination::MetricKind::kCounter,
       {},
       static_cast<double>(this->callers.DisplacedConnections())});
  samples.push_back({"banyanknot_callers_not_admitted_total",
                     "Connections of callers closed at once at the limit.",
                     coordination::MetricKind::kCounter,
                     {},
                     static_cast<double>(this->callers.RefusedConnections())});
}

}  // namespace banyanknot::daemons
