#include "command_line.h"

#include <catch2/catch.hpp>

#include "ctl/command_fixture.h"

namespace banyanknot::ctl {
namespace {

constexpr const char* kGoodCatalogue =
    R"({"fleet":{"owner":"ops"},"domain/a":{"id":"a","owner":"ops",)"
    R"("state":"in"}})";

TEST_CASE("check reports file, JSON pointer and reason of each fault") {
  CannedHostClient client;
  const TemporaryFile good(kGoodCatalogue);
  const RunResult passed = RunWords(client, {"check", good.path});
  CHECK(passed.status == ExitStatus::kOk);
  CHECK(passed.out == "2 entries, 0 faults\n");

  const TemporaryFile bad(
      R"({"fleet":{"owner":"ops","hedge_budget":3},"domain/a":{"id":"b",)"
      R"("owner":"ops","state":"in"}})");
  const RunResult failed = RunWords(client, {"check", bad.path});
  CHECK(failed.status == ExitStatus::kFault);
  CHECK(failed.err.find(bad.path + ": /fleet/hedge_budget: ") !=
        std::string::npos);
  CHECK(failed.err.find(bad.path + ": /domain~1a/id: ") != std::string::npos);
}

TEST_CASE("diff lists added, removed and changed entries") {
  CannedHostClient client;
  const TemporaryFile before(kGoodCatalogue);
  const TemporaryFile after(
      R"({"fleet":{"owner":"other"},"domain/b":{"id":"b"}})");
  const RunResult result = RunWords(client, {"diff", before.path, after.path});
  CHECK(result.status == ExitStatus::kFault);
  CHECK(result.out.find("- domain/a\n") != std::string::npos);
  CHECK(result.out.find("+ domain/b\n") != std::string::npos);
  CHECK(result.out.find("~ fleet\n") != std::string::npos);
  CHECK(RunWords(client, {"diff", before.path, before.path}).status ==
        ExitStatus::kOk);
}

TEST_CASE("Invalid command lines return kUsage and send no request") {
  const std::vector<std::vector<std::string>> rows = {
      {},
      {"nonsense"},
      {"check"},
      {"check", "/nonexistent"},
      {"diff", "one"},
      {"status"},
      {"status", "127.0.0.1"},
      {"status", "127.0.0.1:99999"},
      {"status", "127.0.0.1:1x"},
      {"explain", "127.0.0.1:1"},
      {"query", "127.0.0.1:1", "a"},
      {"query", "127.0.0.1:1", "a", "100", "{not json"},
      {"query", "127.0.0.1:1,127.0.0.1:2", "a", "100"},
  };
  for (const std::vector<std::string>& words : rows) {
    CannedHostClient client;
    const RunResult result = RunWords(client, words);
    CHECK(result.status == ExitStatus::kUsage);
    CHECK_FALSE(result.err.empty());
    CHECK(client.requests.empty());
  }
}

TEST_CASE("status queries every host and returns the worst exit status") {
  CannedHostClient client;
  client.result = protocol::HttpResponse{
      200,
      R"({"host":"h1","domain":"a","ready":true,"catalogue":[{"revision":7}],)"
      R"("hosts":[{"state":"alive"}],"servers":[]})"};
  const RunResult result =
      RunWords(client, {"status", "127.0.0.1:1,127.0.0.1:2"});
  CHECK(result.status == ExitStatus::kOk);
  CHECK(client.hosts.size() == 2);
  CHECK(result.out.find("h1 127.0.0.1:1 domain=a ready=yes revision=7") == 0);

  client.result = transport::TransportError::kConnect;
  CHECK(RunWords(client, {"status", "127.0.0.1:1"}).status ==
        ExitStatus::kUnreachable);
  client.result = protocol::HttpResponse{404, "{}"};
  CHECK(RunWords(client, {"explain", "127.0.0.1:1", "a"}).status ==
        ExitStatus::kFault);
  CHECK(client.requests.back().target == "/explain?service=a");
}

}  // namespace
}  // namespace banyanknot::ctl
