#include "banyanknot/coordination/fleet/catalogue_anti_entropy.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "banyanknot/coordination/fleet/text_splices.h"
#include "banyanknot/state/content_hash.h"

namespace banyanknot::coordination {
namespace {

constexpr state::Duration kPullTimeout = state::Milliseconds(300);
constexpr state::Duration kCompareInterval = state::Milliseconds(250);
constexpr std::size_t kUnthrottledBytes = 4u << 10;
constexpr std::size_t kMaxMessageBytes = 512u << 10;
constexpr std::size_t kVersionOverheadBytes = 24;

std::uint64_t HashOf(const state::CatalogueRecord& record) {
  if (record.revision == 0) return 0;
  return state::ContentHash(record.key + '\n' +
                            std::to_string(record.revision) + '\n' +
                            std::to_string(record.content_hash));
}

bool IsNewer(const EntryVersion& left, const EntryVersion& right) {
  return left.revision > right.revision ||
         (left.revision == right.revision &&
          left.content_hash > right.content_hash);
}

std::size_t SizeOfVersions(const std::vector<EntryVersion>& versions) {
  std::size_t bytes = 0;
  for (const EntryVersion& version : versions) {
    bytes += kVersionOverheadBytes + version.key.size();
  }
  return bytes;
}

/// Splits patches into messages of bounded size, in order.
class PatchBatches {
 public:
  void Add(EntryPatch patch) {
    const std::size_t size = SizeOf(patch);
    if (this->batches.empty() || this->bytes + size > kMaxMessageBytes) {
      this->batches.emplace_back();
      this->bytes = 0;
    }
    this->bytes += size;
    this->batches.back().patches.push_back(std::move(patch));
  }
  const std::vector<PeerPatches>& All() const { return this->batches; }

 private:
  std::vector<PeerPatches> batches;
  std::size_t bytes = 0;
};

}  // namespace

CatalogueAntiEntropy::CatalogueAntiEntropy(
    const Clock& clock, const MembershipView& view, PeerSelector& selector,
    PeerLink& link, const state::CatalogueTable& table, CatalogueSink& intake,
    ContactLog& contacts, RateBudget& budget)
    : clock(clock),
      view(view),
      selector(selector),
      link(link),
      table(table),
      intake(intake),
      contacts(contacts),
      budget(budget) {}

std::vector<CatalogueChange> CatalogueAntiEntropy::Apply(
    const std::vector<RawEntry>& entries, const std::string& source) {
  std::vector<CatalogueChange> changes = this->intake.Apply(entries, source);
  for (const CatalogueChange& change : changes) this->RecordChange(change);
  if (!changes.empty()) this->Offer(changes, source);
  return changes;
}

bool CatalogueAntiEntropy::WasRefused(
    const state::EntryVersion& version) const {
  return this->intake.WasRefused(version);
}

CatalogueDigest CatalogueAntiEntropy::Digest() const {
  return {this->max_revision, this->digest_hash};
}

void CatalogueAntiEntropy::RecordChange(const CatalogueChange& change) {
  this->history.Record(change);
  this->digest_hash += HashOf(change.current) - HashOf(change.replaced);
  const std::uint64_t revision = change.current.revision;
  std::uint64_t last = this->max_revision.load();
  while (last < revision &&
         !this->max_revision.compare_exchange_weak(last, revision)) {
  }
}

void CatalogueAntiEntropy::Offer(const std::vector<CatalogueChange>& changes,
                                 const std::string& source) {
  PeerOffer offer;
  for (const CatalogueChange& change : changes) {
    offer.entries.push_back({change.current.key, change.current.revision,
                             change.current.content_hash});
  }
  const std::size_t bytes = SizeOfVersions(offer.entries);
  for (const state::HostRecord& host :
       this->selector.PickGossipTargets(state::HostId(source))) {
    this->budget.Charge(bytes);
    this->link.Send(host.listed.peer, offer);
  }
}

void CatalogueAntiEntropy::OnPeerMessage(const PeerEnvelope& envelope) {
  std::visit([this, &envelope](
                 const auto& message) { this->Handle(envelope, message); },
             envelope.message);
}

void CatalogueAntiEntropy::Handle(const PeerEnvelope& envelope,
                                  const PeerPing& ping) {
  this->CompareDigest(envelope.from, ping.sender.peer, ping.digest);
}

void CatalogueAntiEntropy::Handle(const PeerEnvelope& envelope,
                                  const PeerPong& pong) {
  const std::optional<state::Endpoint> peer = this->EndpointOf(envelope.from);
  if (peer) this->CompareDigest(envelope.from, *peer, pong.digest);
}

void CatalogueAntiEntropy::CompareDigest(const state::HostId& id,
                                         const state::Endpoint& peer,
                                         const CatalogueDigest& other) {
  const CatalogueDigest own = this->Digest();
  if (other.hash == own.hash || other.max_revision < own.max_revision) return;
  const state::Duration::rep now = this->clock.Now().time_since_epoch().count();
  state::Duration::rep last = this->last_comparison_at.load();
  if (last != 0 && now - last < kCompareInterval.count()) return;
  if (!this->last_comparison_at.compare_exchange_strong(last, now)) return;
  this->comparisons.Update(id, [now](state::TimePoint& asked_at) {
    asked_at = state::TimePoint(state::Duration(now));
  });
  this->budget.Charge(kVersionOverheadBytes);
  this->link.Send(peer, PeerPull());
}

void CatalogueAntiEntropy::Handle(const PeerEnvelope& envelope,
                                  const PeerOffer& offer) {
  const std::optional<state::Endpoint> peer = this->EndpointOf(envelope.from);
  if (!peer) return;
  PeerPull pull;
  for (const EntryVersion& offered : offer.entries) {
    if (this->IsWanted(offered) && this->TryStartPull(offered)) {
      pull.have.push_back(this->HeldVersion(offered.key));
    }
  }
  if (pull.have.empty()) {
    this->RecordConfirmation(envelope.from, offer);
    return;
  }
  this->budget.Charge(SizeOfVersions(pull.have));
  this->link.Send(*peer, pull);
}

void CatalogueAntiEntropy::RecordConfirmation(const state::HostId& from,
                                              const PeerOffer& offer) {
  for (const EntryVersion& offered : offer.entries) {
    if (this->IsWanted(offered)) return;
  }
  if (offer.entries.size() < this->table.Versions().size()) return;
  const std::optional<state::TimePoint> asked_at = this->comparisons.Take(from);
  const std::optional<state::HostRecord> host = this->view.Find(from);
  if (!asked_at || !host) return;
  this->contacts.RecordPeer(from, host->listed.domain, *asked_at);
}

bool CatalogueAntiEntropy::IsWanted(const EntryVersion& offered) const {
  return IsNewer(offered, this->HeldVersion(offered.key)) &&
         !this->intake.WasRefused(offered);
}

bool CatalogueAntiEntropy::TryStartPull(const EntryVersion& offered) {
  const state::TimePoint now = this->clock.Now();
  return this->pending_pulls.Update(
      offered.key, [&offered, now](PendingPull& pull) {
        const bool is_running = now - pull.asked_at < kPullTimeout &&
                                !IsNewer(offered, pull.version);
        if (!is_running) pull = {offered, now};
        return !is_running;
      });
}

EntryVersion CatalogueAntiEntropy::HeldVersion(const std::string& key) const {
  const std::optional<state::CatalogueRecord> record = this->table.Find(key);
  if (!record) return {key, 0, 0};
  return {key, record->revision, record->content_hash};
}

void CatalogueAntiEntropy::Handle(const PeerEnvelope& envelope,
                                  const PeerPull& pull) {
  const std::optional<state::Endpoint> peer = this->EndpointOf(envelope.from);
  if (!peer) return;
  if (pull.have.empty()) {
    this->SendVersions(*peer);
  } else {
    this->SendEntries(*peer, pull);
  }
}

void CatalogueAntiEntropy::SendVersions(const state::Endpoint& peer) {
  PeerOffer offer{this->table.Versions()};
  this->budget.Charge(SizeOfVersions(offer.entries));
  this->link.Send(peer, offer);
}

void CatalogueAntiEntropy::SendEntries(const state::Endpoint& peer,
                                       const PeerPull& pull) {
  PatchBatches batches;
  for (const EntryVersion& have : pull.have) {
    const std::optional<state::CatalogueRecord> record =
        this->table.Find(have.key);
    if (!record ||
        !IsNewer({have.key, record->revision, record->content_hash}, have)) {
      continue;
    }
    std::vector<EntryPatch> patches = this->history.PatchesTo(*record, have);
    std::size_t bytes = 0;
    for (const EntryPatch& patch : patches) bytes += SizeOf(patch);
    if (bytes <= kUnthrottledBytes) {
      this->budget.Charge(bytes);
    } else if (!this->budget.TryTake(bytes)) {
      continue;  // the receiver pulls again after a later heartbeat
    }
    for (EntryPatch& patch : patches) batches.Add(std::move(patch));
  }
  for (const PeerPatches& batch : batches.All()) this->link.Send(peer, batch);
}

void CatalogueAntiEntropy::Handle(const PeerEnvelope& envelope,
                                  const PeerPatches& patches) {
  PeerPull repeated_pull;
  std::vector<CatalogueChange> changes;
  for (const EntryPatch& patch : patches.patches) {
    const std::optional<RawEntry> entry = this->Restore(patch);
    if (entry) {
      for (CatalogueChange& change :
           this->intake.Apply({*entry}, envelope.from.Text())) {
        this->RecordChange(change);
        changes.push_back(std::move(change));
      }
    } else if (patch.base_revision != 0 &&
               this->IsWanted(
                   {patch.key, patch.revision, patch.content_hash})) {
      repeated_pull.have.push_back({patch.key, 0, 0});
    }
  }
  if (!changes.empty()) this->Offer(changes, envelope.from.Text());
  const std::optional<state::Endpoint> peer = this->EndpointOf(envelope.from);
  if (repeated_pull.have.empty() || !peer) return;
  this->budget.Charge(SizeOfVersions(repeated_pull.have));
  this->link.Send(*peer, repeated_pull);
}

std::optional<RawEntry> CatalogueAntiEntropy::Restore(
    const EntryPatch& patch) const {
  RawEntry entry{patch.key, patch.revision, patch.deleted, ""};
  if (patch.deleted) return entry;
  if (patch.base_revision == 0) {
    entry.text = patch.text;
  } else {
    const std::optional<state::CatalogueRecord> base =
        this->table.Find(patch.key);
    if (!base || base->IsTombstone() || base->revision != patch.base_revision ||
        base->content_hash != patch.base_hash) {
      return std::nullopt;
    }
    std::optional<std::string> text = ApplySplices(*base->text, patch.splices);
    if (!text) return std::nullopt;
    entry.text = std::move(*text);
  }
  if (state::ContentHash(entry.text) != patch.content_hash) {
    return std::nullopt;
  }
  return entry;
}

std::optional<state::Endpoint> CatalogueAntiEntropy::EndpointOf(
    const state::HostId& id) const {
  const std::optional<state::HostRecord> host = this->view.Find(id);
  if (!host) return std::nullopt;
  return host->listed.peer;
}

}  // namespace banyanknot::coordination
