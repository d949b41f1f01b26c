#include "banyanknot/coordination/query_metrics.h"

#include <catch2/catch.hpp>

namespace banyanknot::coordination {
namespace {

double ValueOfSample(const std::vector<MetricSample>& samples,
                     const std::string& name, const std::string& label) {
  for (const MetricSample& sample : samples) {
    if (sample.name != name) continue;
    for (const MetricLabel& candidate : sample.labels) {
      if (candidate.value == label) return sample.value;
    }
  }
  return -1;
}

TEST_CASE(
    "QueryMetrics counts answers by outcome and summarizes their latency") {
  QueryMetrics metrics;
  state::Answer answer;
  answer.service = state::ServiceId("a");
  answer.outcome = state::Outcome::kOk;
  answer.coverage = 1.0;
  for (int index = 1; index <= 100; ++index) {
    metrics.RecordAnswer(answer, state::Milliseconds(index));
  }
  answer.outcome = state::Outcome::kNotRun;
  answer.coverage = 0.0;
  metrics.RecordAnswer(answer, state::Milliseconds(1));

  std::vector<MetricSample> samples;
  metrics.CollectMetrics(samples);
  CHECK(ValueOfSample(samples, "banyanknot_queries_total", "ok") == 100);
  CHECK(ValueOfSample(samples, "banyanknot_queries_total", "not_run") == 1);
  CHECK(ValueOfSample(samples, "banyanknot_queries_total", "unknown") == 0);
  const std::string latency = "banyanknot_query_latency_milliseconds";
  CHECK(ValueOfSample(samples, latency, "max") == 100);
  CHECK(ValueOfSample(samples, latency, "p50") == Approx(50).margin(5));
  CHECK(ValueOfSample(samples, latency, "p99") == Approx(99).margin(5));
  CHECK(ValueOfSample(samples, "banyanknot_query_coverage_mean", "a") ==
        Approx(100.0 / 101.0));
}

}  // namespace
}  // namespace banyanknot::coordination
