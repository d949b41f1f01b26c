#include "load_tally.h"

#include <algorithm>
#include <cmath>

namespace banyanknot::standins {

std::uint64_t LoadReport::Count(Verdict verdict) const {
  const auto found = this->verdicts.find(verdict);
  return found == this->verdicts.end() ? 0 : found->second;
}

double LoadReport::AnsweredShare() const {
  if (this->queries == 0) return 1;
  return static_cast<double>(this->Count(Verdict::kAnswered)) /
         static_cast<double>(this->queries);
}

void LoadReport::Add(const LoadReport& other) {
  this->queries += other.queries;
  for (const auto& [verdict, count] : other.verdicts) {
    this->verdicts[verdict] += count;
  }
  for (const auto& [outcome, count] : other.outcomes) {
    this->outcomes[outcome] += count;
  }
  this->doubled += other.doubled;
  this->coverage_min = std::min(this->coverage_min, other.coverage_min);
  this->sub_requests += other.sub_requests;
  this->latencies_ms.insert(this->latencies_ms.end(),
                            other.latencies_ms.begin(),
                            other.latencies_ms.end());
  this->refusals_ms.insert(this->refusals_ms.end(), other.refusals_ms.begin(),
                           other.refusals_ms.end());
  if (this->first_complaint.empty()) {
    this->first_complaint = other.first_complaint;
  }
}

nlohmann::json LoadReport::ToJson(std::uint64_t started) const {
  const double extra = this->sub_requests == 0
                           ? 0.0
                           : static_cast<double>(started) /
                                     static_cast<double>(this->sub_requests) -
                                 1.0;
  return {{"queries", this->queries},
          {"answered", this->Count(Verdict::kAnswered)},
          {"refused_not_run", this->Count(Verdict::kNotRun)},
          {"unknown", this->Count(Verdict::kUnknown)},
          {"wrong", this->Count(Verdict::kWrong)},
          {"cut", this->Count(Verdict::kCut)},
          {"doubled", this->doubled},
          {"coverage_min", this->coverage_min},
          {"p50_ms", QuantileOf(this->latencies_ms, 0.5)},
          {"p99_ms", QuantileOf(this->latencies_ms, 0.99)},
          {"extra_load", extra}};
}

double QuantileOf(std::vector<double> values, double quantile) {
  if (values.empty()) return 0;
  const std::size_t rank = static_cast<std::size_t>(
      std::ceil(quantile * static_cast<double>(values.size())));
  const std::size_t index =
      std::min(std::max<std::size_t>(rank, 1) - 1, values.size() - 1);
  std::nth_element(values.begin(),
                   values.begin() + static_cast<std::ptrdiff_t>(index),
                   values.end());
  return values[index];
}

void LoadTally::OnSent() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  ++this->report.queries;
}

void LoadTally::OnChecked(const LoadItem& item, const CheckedAnswer& checked,
                          state::Duration latency) {
  const double latency_ms = state::ToFractionalMilliseconds(latency);
  const std::lock_guard<std::mutex> lock(this->mutex);
  ++this->report.verdicts[checked.verdict];
  ++this->report.outcomes[checked.outcome];
  if (checked.verdict == Verdict::kNotRun) {
    this->report.refusals_ms.push_back(latency_ms);
    return;
  }
  this->report.sub_requests += item.is_action ? 1 : item.shards;
  if (checked.verdict == Verdict::kAnswered) {
    this->report.latencies_ms.push_back(latency_ms);
    if (!item.is_action) {
      this->report.coverage_min =
          std::min(this->report.coverage_min, checked.coverage);
    }
  }
  if (this->report.first_complaint.empty()) {
    this->report.first_complaint = checked.complaint;
  }
}

LoadReport LoadTally::Report() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->report;
}

}  // namespace banyanknot::standins
