#include "banyanknot/coordination/fleet/start_readiness.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "banyanknot/coordination/fleet/table_membership_view.h"
#include "coordination/fleet/support/virtual_time.h"
#include "coordination/support/recording_audit_sink.h"

namespace banyanknot::coordination::fleet_testing {
namespace {

class FixedDigest : public DigestSource {
 public:
  CatalogueDigest Digest() const override { return {this->revision, 7}; }
  std::uint64_t revision = 0;
};

class FixedFollower : public CatalogueFollower {
 public:
  void Start() override {}
  bool HasSynced() const override { return this->has_read; }
  bool has_read = false;
};

TEST_CASE("StartReadiness waits for peers, the platform or its timeout") {
  struct Case {
    const char* name;
    std::uint64_t revision;  ///< of the catalogue; 0 for none
    bool has_read;
    std::size_t known;      ///< peers
    std::size_t confirmed;  ///< of them
    std::int64_t waited_ms;
    bool is_ready;
  };
  const std::vector<Case> cases{
      {"nothing yet", 0, false, 0, 0, 0, false},
      {"an empty platform", 0, true, 0, 0, 60'000, false},
      {"platform read, peers not heard", 5, true, 3, 0, 100, false},
      {"platform read, peers silent past the timeout", 5, true, 3, 0, 2'000,
       true},
      {"two peers confirm, platform down", 5, false, 3, 2, 100, true},
      {"one of many confirms", 5, false, 3, 1, 100, false},
      {"one of many confirms, past the timeout", 5, false, 3, 1, 2'000, true},
      {"the only peer confirms", 5, false, 1, 1, 100, true},
      {"nobody confirms, platform down", 5, false, 3, 0, 60'000, false},
      {"alone, platform read", 5, true, 0, 0, 2'000, true},
  };
  for (const Case& item : cases) {
    INFO(item.name);
    VirtualTime time;
    state::HostIdentity self;
    self.self.id = state::HostId("h0");
    state::HostTable hosts;
    const TableMembershipView view(self, hosts);
    FixedDigest digest;
    digest.revision = item.revision;
    FixedFollower follower;
    follower.has_read = item.has_read;
    ContactLog contacts;
    RecordingAuditSink audit;
    const StartReadiness readiness(time, view, digest, follower, contacts,
                                   audit);
    for (std::size_t peer = 0; peer < item.known; ++peer) {
      state::HostRecord record;
      record.listed.id = state::HostId("p" + std::to_string(peer));
      record.host_state = state::HostState::kAlive;
      hosts.Insert(record.listed.id, record);
      if (peer >= item.confirmed) continue;
      contacts.RecordPeer(record.listed.id, state::FailureDomainId("d"),
                          time.Now());
    }
    time.Advance(state::Milliseconds(item.waited_ms));
    CHECK(readiness.IsReady() == item.is_ready);
    CHECK(audit.Count(AuditKind::kHostLifecycle) == (item.is_ready ? 1 : 0));
  }
}

}  // namespace
}  // namespace banyanknot::coordination::fleet_testing
