#include <catch2/catch.hpp>
#include <limits>
#include <nlohmann/json.hpp>

#include "banyanknot/protocol/log_line.h"
#include "banyanknot/protocol/metrics_codec.h"
#include "banyanknot/protocol/operator_codec.h"

namespace banyanknot::protocol {
namespace {

TEST_CASE("Log lines escape line breaks, quotes and invalid UTF-8 in fields") {
  const coordination::EventDescription& event =
      coordination::DescriptionOf(coordination::EventCode::kEntryRefused);
  const std::vector<std::string> hostile = {"plain", "two\nlines", "\"quoted\"",
                                            "\xff\xfe not UTF-8", ""};
  for (const std::string& text : hostile) {
    const std::vector<coordination::LogField> fields{{"detail", text}};
    const std::string line = EncodeJsonLogLine(0, event, fields);
    CHECK(line.find('\n') == std::string::npos);
    const nlohmann::json parsed = nlohmann::json::parse(line);
    CHECK(parsed["event"] == 2002);
    CHECK(parsed["severity"] == "warning");
    CHECK(parsed["time"] == "1970-01-01T00:00:00.000Z");
    CHECK(EncodeTextLogLine(0, event, fields).find('\n') == std::string::npos);
  }
}

TEST_CASE("A histogram is written with buckets, sum and count") {
  coordination::MetricSample sample{
      "took_seconds",
      "Time.",
      coordination::MetricKind::kHistogram,
      {},
      1.5,
      {{0.1, 2}, {std::numeric_limits<double>::infinity(), 3}}};
  const std::string body = EncodeMetrics({sample}).body;
  INFO(body);
  for (const char* line :
       {"# TYPE took_seconds histogram\n", "took_seconds_count 3\n",
        "took_seconds_sum 1.5\n", "took_seconds_bucket{le=\"0.1",
        "took_seconds_bucket{le=\"+Inf\"} 3\n"}) {
    CHECK(body.find(line) != std::string::npos);
  }
}

TEST_CASE("Samples of one name are grouped in one metric family") {
  const HttpResponse response = EncodeMetrics(
      {{"a_total", "A.", coordination::MetricKind::kCounter, {{"x", "1"}}, 2},
       {"b", "B.", coordination::MetricKind::kGauge, {}, 0.5},
       {"a_total", "A.", coordination::MetricKind::kCounter, {{"x", "2"}}, 3}});
  CHECK(response.body ==
        "# HELP a_total A.\n# TYPE a_total counter\n"
        "a_total{x=\"1\"} 2\na_total{x=\"2\"} 3\n"
        "# HELP b B.\n# TYPE b gauge\nb 0.5\n");
}

TEST_CASE("EncodeStatus writes the host, its catalogue and its servers") {
  StatusReport report;
  report.identity.self.id = state::HostId("h1");
  report.is_ready = true;
  state::CatalogueRecord record;
  record.key = "fleet";
  record.revision = 4;
  report.catalogue.push_back(record);
  report.servers.push_back({state::ServerId("s1"), {}});
  const nlohmann::json status =
      nlohmann::json::parse(EncodeStatus(report).body);
  CHECK(status["host"] == "h1");
  CHECK(status["ready"] == true);
  CHECK(status["catalogue"][0]["deleted"] == true);
  CHECK(status["servers"][0]["phase"] == "unknown");
}

}  // namespace
}  // namespace banyanknot::protocol
