#include "banyanknot/coordination/audit_trail.h"

#include <catch2/catch.hpp>
#include <mutex>
#include <thread>

namespace banyanknot::coordination {
namespace {

class FixedWallClock : public WallClock {
 public:
  std::int64_t UnixMilliseconds() const override { return 1'000; }
};

class RecordingLog : public EventLog {
 public:
  void Write(EventCode code, const std::vector<LogField>& fields) override {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->codes.push_back(code);
    this->last_fields = fields;
  }

  std::mutex mutex;
  std::vector<EventCode> codes;
  std::vector<LogField> last_fields;
};

TEST_CASE("Each kind of audit event is logged with its own event code") {
  const FixedWallClock wall_clock;
  for (const state::EnumName<AuditKind>& row : kAuditKindNames) {
    RecordingLog log;
    AuditTrail trail(16, wall_clock, log);
    trail.Append({row.value, "service/a", 7, "owner", 9, "platform", "why"});
    REQUIRE(log.codes.size() == 1);
    CHECK(DescriptionOf(log.codes[0]).name == row.name);
    CHECK(trail.Since(0).size() == 1);
  }
}

TEST_CASE("AuditTrail keeps the latest events in order and drops the oldest") {
  const FixedWallClock wall_clock;
  RecordingLog log;
  AuditTrail trail(16, wall_clock, log);
  for (int index = 0; index < 40; ++index) {
    trail.Append(
        {AuditKind::kHostState, std::to_string(index), 0, "", 0, "local", ""});
  }
  const std::vector<AuditRecord> records = trail.Since(0);
  REQUIRE(records.size() == 16);
  for (std::size_t index = 0; index < records.size(); ++index) {
    CHECK(records[index].sequence == 25 + index);
  }
  CHECK(trail.Since(38).size() == 2);
}

TEST_CASE("Concurrent appends neither lose nor repeat a sequence number") {
  const FixedWallClock wall_clock;
  RecordingLog log;
  AuditTrail trail(4096, wall_clock, log);
  std::vector<std::thread> threads;
  for (int thread = 0; thread < 4; ++thread) {
    threads.emplace_back([&trail] {
      for (int index = 0; index < 250; ++index) {
        trail.Append({AuditKind::kServerPhase, "s", 0, "", 0, "local", ""});
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
  const std::vector<AuditRecord> records = trail.Since(0);
  REQUIRE(records.size() == 1000);
  for (std::size_t index = 0; index < records.size(); ++index) {
    CHECK(records[index].sequence == index + 1);
  }
}

}  // namespace
}  // namespace banyanknot::coordination
