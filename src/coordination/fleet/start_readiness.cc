#include "banyanknot/coordination/fleet/start_readiness.h"

#include <algorithm>
#include <cstddef>

namespace banyanknot::coordination {
namespace {

constexpr state::Duration kPeerTimeout = state::Milliseconds(2'000);
constexpr std::size_t kConfirmingPeers = 2;

}  // namespace

StartReadiness::StartReadiness(const Clock& clock, const MembershipView& view,
                               const DigestSource& digests,
                               const CatalogueFollower& follower,
                               const ContactLog& contacts, AuditSink& audit)
    : clock(clock),
      view(view),
      digests(digests),
      follower(follower),
      contacts(contacts),
      audit(audit),
      started_at(clock.Now()) {}

bool StartReadiness::IsReady() const {
  if (this->is_ready) return true;
  if (this->digests.Digest().max_revision == 0) return false;
  const std::size_t known = this->view.ReachableHosts().size();
  const std::size_t peers = this->contacts.PeersSince(this->started_at);
  if (known > 0 && peers >= std::min(kConfirmingPeers, known)) {
    this->MarkReady("ready: " + std::to_string(peers) +
                    " peers confirmed the catalogue");
  } else if (this->clock.Now() - this->started_at >= kPeerTimeout &&
             (this->follower.HasSynced() || peers > 0)) {
    this->MarkReady("ready: " +
                    std::string(this->follower.HasSynced()
                                    ? "the platform was read, "
                                    : "the platform was not read, ") +
                    std::to_string(peers) + " of " + std::to_string(known) +
                    " known peers answered in time");
  }
  return this->is_ready;
}

void StartReadiness::MarkReady(const std::string& reason) const {
  if (this->is_ready.exchange(true)) return;
  this->audit.Append({AuditKind::kHostLifecycle,
                      this->view.Self().self.id.Text(), 0, "", 0, "local",
                      reason});
}

}  // namespace banyanknot::coordination
