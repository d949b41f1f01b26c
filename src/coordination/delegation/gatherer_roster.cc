#include "banyanknot/coordination/delegation/gatherer_roster.h"

#include <algorithm>
#include <utility>

#include "banyanknot/coordination/fleet/rendezvous.h"

namespace banyanknot::coordination {
namespace {

/// Orders the hosts of a domain, roomiest first; ties are broken alike on all
/// hosts.
bool IsRoomier(const state::HostAdvert& left, const state::HostAdvert& right) {
  if (left.cores != right.cores) return left.cores > right.cores;
  return left.id < right.id;
}

}  // namespace

void GathererRoster::RemoveLapsed(DomainEntries& entries,
                                  state::TimePoint now) const {
  for (auto entry = entries.begin(); entry != entries.end();) {
    entry = now - entry->second.said_at >= kLifetime ? entries.erase(entry)
                                                     : std::next(entry);
  }
}

void GathererRoster::Hear(const state::HostAdvert& advert,
                          state::TimePoint now) {
  if (advert.id == this->own.id || advert.age >= kLifetime) return;
  const state::TimePoint said_at = now - advert.age;
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (this->domains.size() >= kMaxDomains &&
      this->domains.count(advert.domain) == 0) {
    return;
  }
  DomainEntries& entries = this->domains[advert.domain];
  this->RemoveLapsed(entries, now);
  Entry& entry = entries[advert.id];
  if (entry.said_at >= said_at) return;
  entry.advert = advert;
  entry.said_at = said_at;
  if (entries.size() <= kMaxPerDomain) return;
  const auto smallest = std::max_element(
      entries.begin(), entries.end(), [](const auto& left, const auto& right) {
        return IsRoomier(left.second.advert, right.second.advert);
      });
  entries.erase(smallest);
}

std::vector<state::HostAdvert> GathererRoster::Adverts(
    const state::FailureDomainId& domain, bool takes_work,
    state::TimePoint now) const {
  std::vector<state::HostAdvert> adverts;
  if (domain == this->own.domain) {
    adverts.push_back(this->own);
    adverts.back().takes_work = takes_work;
  }
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto found = this->domains.find(domain);
  if (found == this->domains.end()) return adverts;
  for (const auto& [id, entry] : found->second) {
    const state::Duration age = now - entry.said_at;
    if (age >= kLifetime) continue;
    adverts.push_back(entry.advert);
    adverts.back().age = age;
  }
  return adverts;
}

bool GathererRoster::MayGatherHere(const Entry& entry,
                                   state::TimePoint now) const {
  return entry.advert.takes_work && now - entry.said_at < kLifetime &&
         entry.advert.cores >= kRoomFactor * this->own.cores;
}

std::vector<state::HostAdvert> GathererRoster::Gatherers(
    state::TimePoint now) const {
  std::vector<state::HostAdvert> gatherers;
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto found = this->domains.find(this->own.domain);
  if (found == this->domains.end()) return gatherers;
  for (const auto& [id, entry] : found->second) {
    if (this->MayGatherHere(entry, now)) gatherers.push_back(entry.advert);
  }
  return gatherers;
}

std::optional<state::HostAdvert> GathererRoster::PickGatherer(
    state::TimePoint now) const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto found = this->domains.find(this->own.domain);
  if (found == this->domains.end()) return std::nullopt;
  std::vector<state::HostId> candidates;
  for (const auto& [id, entry] : found->second) {
    if (!entry.suspected_at && this->MayGatherHere(entry, now)) {
      candidates.push_back(id);
    }
  }
  for (const state::HostId& id : candidates) {
    if (RendezvousRank(this->own.id.Text(), id, candidates) == 0) {
      return found->second.at(id).advert;
    }
  }
  return std::nullopt;
}

std::vector<state::HostAdvert> GathererRoster::RankedLocked(
    state::TimePoint now) const {
  const auto found = this->domains.find(this->own.domain);
  if (found == this->domains.end()) return {};
  std::vector<state::HostAdvert> ranked{this->own};
  for (const auto& [id, entry] : found->second) {
    if (now - entry.said_at < kLifetime) ranked.push_back(entry.advert);
  }
  if (ranked.size() <= 2 * kWatchersPerDomain) return {};
  std::sort(ranked.begin(), ranked.end(), IsRoomier);
  ranked.resize(kWatchersPerDomain);
  return ranked;
}

std::vector<state::HostAdvert> GathererRoster::Watchers(
    state::TimePoint now) const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::vector<state::HostAdvert> watchers;
  for (const state::HostAdvert& host : this->RankedLocked(now)) {
    if (host.id == this->own.id) return {};
    const Entry& entry = this->domains.at(this->own.domain).at(host.id);
    if (!entry.suspected_at) watchers.push_back(host);
  }
  if (watchers.size() == kWatchersPerDomain &&
      RendezvousRank(this->own.id.Text(), watchers.back().id,
                     {watchers.front().id, watchers.back().id}) == 0) {
    std::swap(watchers.front(), watchers.back());
  }
  return watchers;
}

bool GathererRoster::MayHaveFollowers(state::TimePoint now) const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const std::vector<state::HostAdvert> ranked = this->RankedLocked(now);
  return std::any_of(ranked.begin(), ranked.end(),
                     [this](const state::HostAdvert& host) {
                       return host.id == this->own.id;
                     });
}

const GathererRoster::Entry* GathererRoster::LeaderOf(
    const DomainEntries& entries, state::TimePoint now) const {
  const Entry* leader = nullptr;
  for (const auto& [id, entry] : entries) {
    // One that is dead says nothing more; one that does is tried again.
    const bool is_suspected =
        entry.suspected_at && (entry.said_at <= *entry.suspected_at ||
                               now - *entry.suspected_at < kSuspicionTime);
    const bool is_eligible = entry.advert.takes_work && !is_suspected &&
                             now - entry.said_at < kLifetime;
    if (!is_eligible) continue;
    if (leader == nullptr || IsRoomier(entry.advert, leader->advert)) {
      leader = &entry;
    }
  }
  return leader;
}

std::optional<state::HostAdvert> GathererRoster::OwnLeaderLocked(
    state::TimePoint now) const {
  const auto found = this->domains.find(this->own.domain);
  if (found == this->domains.end()) return std::nullopt;
  const Entry* leader = this->LeaderOf(found->second, now);
  if (leader == nullptr || !IsRoomier(leader->advert, this->own)) {
    return std::nullopt;
  }
  state::HostAdvert advert = leader->advert;
  advert.age = now - leader->said_at;
  return advert;
}

std::optional<state::HostAdvert> GathererRoster::OwnAccountant(
    state::TimePoint now) const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->OwnLeaderLocked(now);
}

std::vector<state::HostAdvert> GathererRoster::OtherAccountants(
    state::TimePoint now) const {
  return this->LeadersExcept(this->own.domain, false, now);
}

std::vector<state::HostAdvert> GathererRoster::LeadersExcept(
    const state::FailureDomainId& domain, bool takes_work,
    state::TimePoint now) const {
  std::vector<state::HostAdvert> leaders;
  const std::lock_guard<std::mutex> lock(this->mutex);
  for (const auto& [other, entries] : this->domains) {
    if (other == domain || other == this->own.domain) continue;
    const Entry* leader = this->LeaderOf(entries, now);
    if (leader == nullptr) continue;
    leaders.push_back(leader->advert);
    leaders.back().age = now - leader->said_at;
  }
  if (domain == this->own.domain) return leaders;
  leaders.push_back(this->OwnLeaderLocked(now).value_or(this->own));
  if (leaders.back().id == this->own.id) leaders.back().takes_work = takes_work;
  return leaders;
}

void GathererRoster::Suspect(const state::HostId& host, state::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  for (auto& [domain, entries] : this->domains) {
    const auto entry = entries.find(host);
    if (entry != entries.end()) entry->second.suspected_at = now;
  }
}

void GathererRoster::Clear(const state::HostId& host,
                           state::TimePoint sent_at) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto found = this->domains.find(this->own.domain);
  if (found == this->domains.end()) return;
  const auto entry = found->second.find(host);
  if (entry == found->second.end()) return;
  if (entry->second.suspected_at && *entry->second.suspected_at <= sent_at) {
    entry->second.suspected_at.reset();
  }
}

}  // namespace banyanknot::coordination
