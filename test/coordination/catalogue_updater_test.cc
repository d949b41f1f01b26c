#include "banyanknot/coordination/catalogue_updater.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "coordination/fleet/support/line_entry_decoder.h"
#include "coordination/support/recording_audit_sink.h"

namespace banyanknot::coordination::fleet_testing {
namespace {

struct Fixture {
  state::CatalogueTable table;
  LineEntryDecoder decoder;
  RecordingAuditSink audit;
  CatalogueUpdater updater{table, decoder, audit};

  std::string TextOf(const std::string& key) {
    const std::optional<state::CatalogueRecord> record = table.Find(key);
    return !record || record->IsTombstone() ? "" : *record->text;
  }
};

TEST_CASE("CatalogueUpdater decides on each entry separately") {
  struct Case {
    const char* name;
    std::vector<RawEntry> entries;
    std::string in_force;  ///< text of domain/a; empty for none
    std::size_t refused;
    std::size_t conflicts;
  };
  const std::vector<Case> cases{
      {"newer revision replaces older",
       {{"domain/a", 1, false, "1"}, {"domain/a", 2, false, "2"}},
       "2",
       0,
       0},
      {"older revision is ignored",
       {{"domain/a", 2, false, "2"}, {"domain/a", 1, false, "1"}},
       "2",
       0,
       0},
      {"invalid entry leaves the last valid one",
       {{"domain/a", 1, false, "1"}, {"domain/a", 2, false, "bad"}},
       "1",
       1,
       0},
      {"invalid entry is audited once per revision",
       {{"domain/a", 2, false, "bad"},
        {"domain/a", 2, false, "bad"},
        {"domain/a", 3, false, "bad"}},
       "",
       2,
       0},
      {"other entries still apply",
       {{"domain/b", 1, false, "bad"}, {"domain/a", 1, false, "1"}},
       "1",
       1,
       0},
      {"older revision does not undo a deletion",
       {{"domain/a", 1, false, "1"},
        {"domain/a", 2, true, ""},
        {"domain/a", 1, false, "1"}},
       "",
       0,
       0},
      {"later revision restores a deleted entry",
       {{"domain/a", 2, true, ""}, {"domain/a", 3, false, "3"}},
       "3",
       0,
       0},
      {"same version twice",
       {{"domain/a", 1, false, "1"}, {"domain/a", 1, false, "1"}},
       "1",
       0,
       0},
  };
  for (const Case& item : cases) {
    INFO(item.name);
    Fixture fixture;
    fixture.updater.Apply(item.entries, "platform");
    CHECK(fixture.TextOf("domain/a") == item.in_force);
    CHECK(fixture.audit.Count(AuditKind::kEntryRefused) == item.refused);
    CHECK(fixture.audit.Count(AuditKind::kEntryConflict) == item.conflicts);
  }
}

TEST_CASE("Conflicting contents of a revision resolve alike in either order") {
  const RawEntry first{"domain/a", 4, false, "first"};
  const RawEntry second{"domain/a", 4, false, "second"};
  Fixture left;
  left.updater.Apply({first, second, first, second}, "platform");
  Fixture right;
  right.updater.Apply({second, first, second, first}, "platform");
  CHECK(left.TextOf("domain/a") == right.TextOf("domain/a"));
  const std::size_t left_conflicts =
      left.audit.Count(AuditKind::kEntryConflict);
  CHECK(left_conflicts >= 1);
  CHECK(right.audit.Count(AuditKind::kEntryConflict) >= 1);
  left.updater.Apply({first, second, first, second}, "platform");
  CHECK(left.audit.Count(AuditKind::kEntryConflict) == left_conflicts);
}

TEST_CASE("Hosts that skipped different revisions decide alike") {
  const std::vector<RawEntry> all{{"domain/a", 1, false, "1"},
                                  {"domain/a", 2, false, "bad"},
                                  {"domain/a", 3, false, "out"},
                                  {"domain/a", 4, false, "bad"}};
  for (unsigned skipped = 0; skipped < 16; ++skipped) {
    Fixture fixture;
    for (unsigned index = 0; index < all.size(); ++index) {
      const bool is_kept = index == 2 || (skipped & (1U << index)) == 0;
      if (is_kept) fixture.updater.Apply({all[index]}, "platform");
    }
    CHECK(fixture.TextOf("domain/a") == "out");
  }
}

TEST_CASE("Taking a failure domain out and back is audited") {
  Fixture fixture;
  fixture.updater.Apply({{"domain/a", 1, false, "in"}}, "platform");
  CHECK(fixture.audit.Count(AuditKind::kDomainState) == 0);
  fixture.updater.Apply({{"domain/a", 2, false, "out"}}, "h1");
  fixture.updater.Apply({{"domain/a", 3, false, "out again"}}, "h1");
  CHECK(fixture.audit.Count(AuditKind::kDomainState) == 1);
  fixture.updater.Apply({{"domain/a", 4, true, ""}}, "platform");
  CHECK(fixture.audit.Count(AuditKind::kDomainState) == 2);
  CHECK(fixture.audit.Events().back().detail == "out to in");
}

}  // namespace
}  // namespace banyanknot::coordination::fleet_testing
