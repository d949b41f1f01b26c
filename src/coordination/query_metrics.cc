#include "banyanknot/coordination/query_metrics.h"

#include <cstddef>
#include <string>

namespace banyanknot::coordination {
namespace {

namespace accumulators = boost::accumulators;

}  // namespace

void QueryMetrics::RecordAnswer(const state::Answer& answer,
                                state::Duration latency) {
  const double latency_ms = state::ToFractionalMilliseconds(latency);
  this->services.Update(
      answer.service, [&answer, latency_ms](ServiceMetrics& metrics) {
        ++metrics.outcomes[static_cast<std::size_t>(answer.outcome)];
        metrics.latency_ms(latency_ms);
        metrics.median_ms(latency_ms);
        metrics.percentile99_ms(latency_ms);
        metrics.coverage(answer.coverage);
      });
}

void QueryMetrics::CollectMetrics(std::vector<MetricSample>& samples) const {
  this->services.ForEach([&samples](const state::ServiceId& service,
                                    const ServiceMetrics& metrics) {
    const MetricLabel label{"service", service.Text()};
    for (const state::EnumName<state::Outcome>& row : state::kOutcomeNames) {
      samples.push_back(
          {"banyanknot_queries_total",
           "Queries by outcome.",
           MetricKind::kCounter,
           {label, {"outcome", std::string(row.name)}},
           static_cast<double>(
               metrics.outcomes[static_cast<std::size_t>(row.value)])});
    }
    const std::string name = "banyanknot_query_latency_milliseconds";
    const std::string help = "Time from request to answer.";
    const auto add = [&](const char* statistic, double value) {
      samples.push_back({name,
                         help,
                         MetricKind::kGauge,
                         {label, {"statistic", statistic}},
                         value});
    };
    add("mean", accumulators::mean(metrics.latency_ms));
    add("max", accumulators::max(metrics.latency_ms));
    add("p50", accumulators::p_square_quantile(metrics.median_ms));
    add("p99", accumulators::p_square_quantile(metrics.percentile99_ms));
    samples.push_back({"banyanknot_query_coverage_mean",
                       "Mean share of the key space that answers covered.",
                       MetricKind::kGauge,
                       {label},
                       accumulators::mean(metrics.coverage)});
  });
}

}  // namespace banyanknot::coordination
