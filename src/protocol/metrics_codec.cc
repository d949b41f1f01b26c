#include "banyanknot/protocol/metrics_codec.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <map>
#include <string>
#include <utility>

namespace banyanknot::protocol {
namespace {

prometheus::ClientMetric ToClientMetric(
    const coordination::MetricSample& sample) {
  prometheus::ClientMetric metric;
  for (const coordination::MetricLabel& label : sample.labels) {
    metric.label.push_back({label.name, label.value});
  }
  if (sample.kind == coordination::MetricKind::kCounter) {
    metric.counter.value = sample.value;
  } else {
    metric.gauge.value = sample.value;
  }
  return metric;
}

}  // namespace

HttpResponse EncodeMetrics(
    const std::vector<coordination::MetricSample>& samples) {
  std::map<std::string, prometheus::MetricFamily> families;
  for (const coordination::MetricSample& sample : samples) {
    prometheus::MetricFamily& family = families[sample.name];
    family.name = sample.name;
    family.help = sample.help;
    family.type = sample.kind == coordination::MetricKind::kCounter
                      ? prometheus::MetricType::Counter
                      : prometheus::MetricType::Gauge;
    family.metric.push_back(ToClientMetric(sample));
  }
  std::vector<prometheus::MetricFamily> ordered;
  ordered.reserve(families.size());
  for (auto& [name, family] : families) ordered.push_back(std::move(family));
  HttpResponse response;
  response.content_type = "text/plain; version=0.0.4";
  response.body = prometheus::TextSerializer().Serialize(ordered);
  return response;
}

}  // namespace banyanknot::protocol
