#ifndef BANYANKNOT_PROTOCOL_METRICS_CODEC_H_
#define BANYANKNOT_PROTOCOL_METRICS_CODEC_H_

#include <vector>

#include "banyanknot/coordination/metric_source.h"
#include "banyanknot/protocol/http_message.h"

namespace banyanknot::protocol {

/// \brief Path at which a host exposes its metrics.
inline constexpr const char* kMetricsPath = "/metrics";

/// \brief Writes metrics in the Prometheus text exposition format.
HttpResponse EncodeMetrics(
    const std::vector<coordination::MetricSample>& samples);

}  // namespace banyanknot::protocol

#endif  // BANYANKNOT_PROTOCOL_METRICS_CODEC_H_
