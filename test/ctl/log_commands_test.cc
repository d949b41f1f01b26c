#include <catch2/catch.hpp>
#include <string>

#include "ctl/command_fixture.h"

namespace banyanknot::ctl {
namespace {

// Abridged from logs recorded while the store was failing and one failure
// domain was unreachable.
const char* const kNorth =
    R"({"time":"2026-09-07T14:10:00.000Z","name":"host_starting","host":"north-1","domain":"north"}
{"time":"2026-09-07T14:10:01.000Z","name":"routes_in_force","version":"3"}
{"time":"2026-09-07T14:10:09.000Z","name":"routes_in_force","version":"4"}
{"time":"2026-09-07T14:10:20.000Z","name":"server_doubted","server":"i-1","service":"noda","doubt":"silent","last_reply_ms_ago":"812"}
{"time":"2026-09-07T14:10:20.100Z","name":"server_doubted","server":"i-9","service":"other","doubt":"broken"}
{"time":"2026-09-07T14:10:21.000Z","name":"request_not_whole","request":"e640","outcome":"not_run","reason":"no_usable_server","version":"4","missing":"noda,yefi@i-2"}
{"time":"2026-09-07T14:10:22.000Z","name":"reach_lost","replied":"2","unreached":"25"}
{"time":"2026-09-07T14:10:30.000Z","name":"host_stopping"}
)";
const char* const kSouth =
    R"({"time":"2026-09-07T14:10:00.020Z","name":"host_starting","host":"south-1","domain":"south"}
{"time":"2026-09-07T14:10:01.400Z","name":"routes_in_force","version":"3"}
{"time":"2026-09-07T14:10:05.000Z","name":"source_lost","failure":"silent"}
{"time":"2026-09-07T14:10:30.500Z","name":"request_answered","request":"aa11","outcome":"whole","version":"3"}
)";

RunResult RunLogCommand(const std::vector<std::string>& words,
                        const LogOptions& options = {}) {
  CannedHostClient client;
  return RunWords(client, words, options);
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

TEST_CASE(
    "trace shows the outcome of a request, the state behind it and its "
    "meaning") {
  const TemporaryFile north(kNorth);
  const TemporaryFile south(kSouth);
  const RunResult result =
      RunLogCommand({"trace", "e640", south.path, north.path});
  INFO(result.out);
  CHECK(result.status == ExitStatus::kOk);
  CHECK(Contains(result.out,
                 "> 2026-09-07T14:10:21.000Z north-1 request_not_whole"));
  CHECK(Contains(result.out,
                 "server_doubted server=i-1 service=noda doubt=silent"));
  CHECK(Contains(result.out, "routes_in_force version=4"));
  CHECK_FALSE(Contains(result.out, "version=3"));   // superseded by version 4
  CHECK_FALSE(Contains(result.out, "i-9"));         // server of another service
  CHECK_FALSE(Contains(result.out, "reach_lost"));  // logged after the request
  CHECK_FALSE(Contains(result.out, "south-1"));
  CHECK(Contains(result.out, "= no_usable_server: nothing was sent"));
  CHECK(result.out.find("server_doubted") <
        result.out.find("request_not_whole"));
}

TEST_CASE("trace explains why a request may be missing from the logs") {
  const TemporaryFile north(kNorth);
  const RunResult result = RunLogCommand({"trace", "ffff", north.path});
  CHECK(result.status == ExitStatus::kFault);
  CHECK(Contains(result.err, "no line names request ffff"));
}

TEST_CASE("Truncated and foreign log lines are counted and skipped") {
  const TemporaryFile file(
      "kernel: something else\n" +
      std::string(kNorth).substr(0, std::string(kNorth).size() - 30) +
      "\n{\"time\":\"yesterday\",\"name\":\"host_ready\"}\n");
  const RunResult result = RunLogCommand({"trace", "e640", file.path});
  CHECK(result.status == ExitStatus::kOk);
  CHECK(Contains(result.err, file.path + ": 3 lines can't be read"));
}

TEST_CASE(
    "Hosts in one file are distinguished by the prefix of the log collector") {
  const TemporaryFile file(
      "12.5 north-1 {\"time\":\"2026-09-07T14:10:01.000Z\",\"name\":"
      "\"routes_in_force\",\"version\":\"3\"}\n"
      "12.6 south-1 {\"time\":\"2026-09-07T14:10:01.100Z\",\"name\":"
      "\"routes_in_force\",\"version\":\"3\"}\n");
  const RunResult result = RunLogCommand({"timeline", file.path});
  CHECK(Contains(result.out,
                 "routes_in_force 3 on north-1,south-1 within 100 ms\n"));
}

TEST_CASE("timeline marks the hosts that did not log a change of the fleet") {
  const TemporaryFile north(kNorth);
  const TemporaryFile south(kSouth);
  const RunResult result = RunLogCommand({"timeline", north.path, south.path});
  INFO(result.out);
  CHECK(result.status == ExitStatus::kOk);
  CHECK(Contains(result.out,
                 "  2026-09-07T14:10:01.000Z routes_in_force 3 on "
                 "north-1,south-1 within 400 ms"));
  CHECK(Contains(result.out,
                 "! 2026-09-07T14:10:09.000Z routes_in_force 4 on "
                 "north-1, not on south-1"));
  CHECK(Contains(result.out, "source_lost silent on south-1"));
  CHECK(Contains(result.out, "reach_lost on north-1"));
}

TEST_CASE("timeline groups simultaneous changes of one kind in one line") {
  std::string text;
  for (const char* server : {"i-1", "i-2", "i-3"}) {
    text +=
        "{\"time\":\"2026-09-07T14:10:01.000Z\",\"name\":"
        "\"server_removed\",\"server\":\"" +
        std::string(server) + "\",\"service\":\"noda\"}\n";
  }
  const TemporaryFile file(text);
  const RunResult result = RunLogCommand({"timeline", file.path});
  CHECK(Contains(result.out, "server_removed i-1 noda and 2 more on"));
  CHECK_FALSE(Contains(result.out, "i-2"));
}

TEST_CASE("Logs are filtered by time and printed as JSON") {
  const TemporaryFile north(kNorth);
  const LogOptions options{true, "2026-09-07T14:10:09", "2026-09-07T14:10:20"};
  const RunResult result = RunLogCommand({"timeline", north.path}, options);
  const nlohmann::json row = nlohmann::json::parse(result.out);
  CHECK(row["event"] == "routes_in_force");
  CHECK(row["subject"] == "4");
  CHECK(row["scope"] == "fleet");
  CHECK(row["hosts"] == nlohmann::json::array({"north-1"}));

  const RunResult trace_result =
      RunLogCommand({"trace", "e640", north.path}, {true, "", ""});
  const nlohmann::json trace = nlohmann::json::parse(trace_result.out);
  CHECK(trace["readings"].size() == 1);
  CHECK(trace["lines"].back()["request"] == "e640");
  CHECK(trace["lines"].back()["log_host"] == "north-1");
}

TEST_CASE("A log file that can't be opened is a usage error") {
  CHECK(RunLogCommand({"trace", "e640", "/nowhere"}).status ==
        ExitStatus::kUsage);
  CHECK(RunLogCommand({"timeline"}).status == ExitStatus::kUsage);
}

TEST_CASE("Log timestamps are parsed to the millisecond") {
  CHECK(ParseTime("1970-01-02T00:00:01.250Z") == 86'401'250);
  CHECK_FALSE(ParseTime("1970-01-02 00:00:01"));
  CHECK_FALSE(ParseTime("nonsenseZ"));
  CHECK_FALSE(ParseTime(""));
}

}  // namespace
}  // namespace banyanknot::ctl
