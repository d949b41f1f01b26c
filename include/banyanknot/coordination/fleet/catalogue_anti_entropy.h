#ifndef BANYANKNOT_COORDINATION_FLEET_CATALOGUE_ANTI_ENTROPY_H_
#define BANYANKNOT_COORDINATION_FLEET_CATALOGUE_ANTI_ENTROPY_H_

#include <atomic>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "banyanknot/coordination/catalogue_sink.h"
#include "banyanknot/coordination/clock.h"
#include "banyanknot/coordination/digest_source.h"
#include "banyanknot/coordination/fleet/contact_log.h"
#include "banyanknot/coordination/fleet/patch_history.h"
#include "banyanknot/coordination/fleet/peer_selector.h"
#include "banyanknot/coordination/fleet/rate_budget.h"
#include "banyanknot/coordination/membership_view.h"
#include "banyanknot/coordination/peer_link.h"
#include "banyanknot/state/catalogue_table.h"

namespace banyanknot::coordination {

/// \brief Replicates catalogue entries between hosts by anti-entropy.
///
/// Thread-safe. Applied entries are offered to a few peers immediately; these
/// pull what they lack and receive patches. The digests in heartbeats detect
/// what a lost offer missed. Every entry passes through the intake, whoever
/// sent it, so that a peer can apply nothing that the platform could not.
class CatalogueAntiEntropy : public CatalogueSink,
                             public DigestSource,
                             public PeerHandler {
 public:
  CatalogueAntiEntropy(const Clock& clock, const MembershipView& view,
                       PeerSelector& selector, PeerLink& link,
                       const state::CatalogueTable& table,
                       CatalogueSink& intake, ContactLog& contacts,
                       RateBudget& budget);

  std::vector<CatalogueChange> Apply(const std::vector<RawEntry>& entries,
                                     const std::string& source) override;
  bool WasRefused(const state::EntryVersion& version) const override;
  CatalogueDigest Digest() const override;
  void OnPeerMessage(const PeerEnvelope& envelope) override;

 private:
  struct PendingPull {
    EntryVersion version;
    state::TimePoint asked_at;
  };

  void Handle(const PeerEnvelope& envelope, const PeerPing& ping);
  void Handle(const PeerEnvelope& envelope, const PeerPong& pong);
  void Handle(const PeerEnvelope& envelope, const PeerOffer& offer);
  void Handle(const PeerEnvelope& envelope, const PeerPull& pull);
  void Handle(const PeerEnvelope& envelope, const PeerPatches& patches);
  template <typename Other>
  void Handle(const PeerEnvelope& /*envelope*/, const Other& /*message*/) {}

  void RecordChange(const CatalogueChange& change);
  void Offer(const std::vector<CatalogueChange>& changes,
             const std::string& source);
  void CompareDigest(const state::HostId& id, const state::Endpoint& peer,
                     const CatalogueDigest& other);
  void RecordConfirmation(const state::HostId& from, const PeerOffer& offer);
  void SendVersions(const state::Endpoint& peer);
  void SendEntries(const state::Endpoint& peer, const PeerPull& pull);
  bool IsWanted(const EntryVersion& offered) const;
  bool TryStartPull(const EntryVersion& offered);
  EntryVersion HeldVersion(const std::string& key) const;
  std::optional<RawEntry> Restore(const EntryPatch& patch) const;
  std::optional<state::Endpoint> EndpointOf(const state::HostId& id) const;

  const Clock& clock;
  const MembershipView& view;
  PeerSelector& selector;
  PeerLink& link;
  const state::CatalogueTable& table;
  CatalogueSink& intake;
  ContactLog& contacts;
  RateBudget& budget;
  PatchHistory history;
  state::ShardedTable<std::string, PendingPull> pending_pulls;       // by key
  state::ShardedTable<state::HostId, state::TimePoint> comparisons;  // asked at
  std::atomic<std::uint64_t> digest_hash{0};
  std::atomic<std::uint64_t> max_revision{0};
  std::atomic<state::Duration::rep> last_comparison_at{0};
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_FLEET_CATALOGUE_ANTI_ENTROPY_H_
