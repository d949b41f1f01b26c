#include "banyanknot/protocol/metrics_codec.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <map>
#include <string>
#include <utility>

#include "banyanknot/state/util/assert.h"

namespace banyanknot::protocol {
namespace {

prometheus::ClientMetric::Histogram ToHistogram(
    const coordination::MetricSample& sample) {
  prometheus::ClientMetric::Histogram histogram;
  histogram.sample_sum = sample.value;
  for (const coordination::MetricBucket& bucket : sample.buckets) {
    histogram.bucket.push_back({bucket.count, bucket.upper_bound});
    histogram.sample_count = bucket.count;
  }
  return histogram;
}

prometheus::ClientMetric ToClientMetric(
    const coordination::MetricSample& sample) {
  prometheus::ClientMetric metric;
  for (const coordination::MetricLabel& label : sample.labels) {
    metric.label.push_back({label.name, label.value});
  }
  switch (sample.kind) {
    case coordination::MetricKind::kCounter:
      metric.counter.value = sample.value;
      break;
    case coordination::MetricKind::kGauge:
      metric.gauge.value = sample.value;
      break;
    case coordination::MetricKind::kHistogram:
      metric.histogram = ToHistogram(sample);
      break;
  }
  return metric;
}

prometheus::MetricType ToType(coordination::MetricKind kind) {
  switch (kind) {
    case coordination::MetricKind::kCounter:
      return prometheus::MetricType::Counter;
    case coordination::MetricKind::kGauge:
      return prometheus::MetricType::Gauge;
    case coordination::MetricKind::kHistogram:
      return prometheus::MetricType::Histogram;
  }
  BANYANKNOT_ASSERT(false, "map every MetricKind to a Prometheus type");
  return prometheus::MetricType::Untyped;
}

}  // namespace

HttpResponse EncodeMetrics(
    const std::vector<coordination::MetricSample>& samples) {
  std::map<std::string, prometheus::MetricFamily> families;
  for (const coordination::MetricSample& sample : samples) {
    prometheus::MetricFamily& family = families[sample.name];
    family.name = sample.name;
    family.help = sample.help;
    family.type = ToType(sample.kind);
    family.metric.push_back(ToClientMetric(sample));
  }
  std::vector<prometheus::MetricFamily> sorted;
  sorted.reserve(families.size());
  for (auto& [name, family] : families) sorted.push_back(std::move(family));
  HttpResponse response;
  response.content_type = "text/plain; version=0.0.4";
  response.body = prometheus::TextSerializer().Serialize(sorted);
  return response;
}

}  // namespace banyanknot::protocol
