#include <catch2/catch.hpp>

#include "command_fixture.h"

namespace banyanknot::ctl {
namespace {

RunResult CheckRoutesFile(const std::string& text) {
  CannedHostClient client;
  const TemporaryFile file(text);
  return RunWords(client, {"check_routes", file.path});
}

RunResult CheckAgainst(const std::string& text, const std::string& in_force) {
  CannedHostClient client;
  const TemporaryFile file(text);
  const TemporaryFile old_file(in_force);
  return RunWords(client, {"check_routes", file.path, old_file.path});
}

TEST_CASE("A sound document of routes passes") {
  const RunResult result = CheckRoutesFile("7 one two");
  CHECK(result.status == ExitStatus::kOk);
  CHECK(result.out == "0 findings\n");
  CHECK(result.err.empty());
}

TEST_CASE("Each finding is one line with its place") {
  const RunResult result = CheckRoutesFile("7 one two one");
  CHECK(result.status == ExitStatus::kFault);
  CHECK(result.out == "2 findings\n");
  CHECK(result.err.find(": /2: repeated_name: \"one\"\n") != std::string::npos);
  CHECK(result.err.find(": /2: shadowed_route: ") != std::string::npos);
}

TEST_CASE("A document that hosts refuse is a fault") {
  const RunResult result = CheckRoutesFile("7");
  CHECK(result.status == ExitStatus::kFault);
  CHECK(result.err.find(": /version: invalid: is missing\n") !=
        std::string::npos);
}

TEST_CASE("Differences from the version in force are shown and no fault") {
  const RunResult result = CheckAgainst("8 one three", "7 one two");
  CHECK(result.status == ExitStatus::kOk);
  CHECK(result.out ==
        "0 findings, 2 differences\nremoved /1 \"two\"\nadded /1 \"three\"\n");
}

TEST_CASE("A version that hosts would not take is a finding") {
  for (const char* version : {"6 one", "7 one"}) {
    const RunResult result = CheckAgainst(version, "7 one");
    CHECK(result.status == ExitStatus::kFault);
    CHECK(result.err.find("not_newer") != std::string::npos);
  }
}

TEST_CASE("Files that can't be read are told from faults") {
  CannedHostClient client;
  CHECK(RunWords(client, {"check_routes"}).status == ExitStatus::kUsage);
  CHECK(RunWords(client, {"check_routes", "/nonexistent"}).status ==
        ExitStatus::kUsage);
  CHECK(CheckAgainst("7 one", "7").status == ExitStatus::kUsage);
}

}  // namespace
}  // namespace banyanknot::ctl
