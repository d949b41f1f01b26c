#ifndef BANYANKNOT_COORDINATION_DELEGATION_GATHERER_ROSTER_H_
#define BANYANKNOT_COORDINATION_DELEGATION_GATHERER_ROSTER_H_

#include <map>
#include <mutex>
#include <optional>
#include <vector>

#include "banyanknot/coordination/quota/accountant_directory.h"
#include "banyanknot/state/routing/host_advert.h"

namespace banyanknot::coordination {

/// \brief The roomiest hosts of each failure domain, as heard from other hosts.
///
/// Nothing that must hold depends on it: hosts that disagree on who gathers
/// only open a few more connections. An advert that is not renewed lapses after
/// kLifetime. Keeps a bounded number of hosts. Thread-safe.
class GathererRoster : public AccountantDirectory {
 public:
  static constexpr std::size_t kMaxPerDomain = 4;
  static constexpr std::size_t kMaxDomains = 64;
  static constexpr state::Duration kLifetime = state::Milliseconds(5'000);
  /// A host gathers for others that have at most 1/n of its processor share.
  static constexpr double kRoomFactor = 2;
  static constexpr std::size_t kWatchersPerDomain = 2;
  /// A suspected host is tried again as an accountant after this time.
  static constexpr state::Duration kSuspicionTime = state::Milliseconds(1'000);

  /// \param own what this host tells others
  explicit GathererRoster(state::HostAdvert own) : own(std::move(own)) {}

  /// \brief Records an advert that is `advert.age` old at `now`; one that is
  /// older than what is known has no effect.
  void Hear(const state::HostAdvert& advert, state::TimePoint now);

  /// \brief Returns what is known of a failure domain, this host included if it
  /// is there.
  /// \param takes_work whether this host gathers for others now
  std::vector<state::HostAdvert> Adverts(const state::FailureDomainId& domain,
                                         bool takes_work,
                                         state::TimePoint now) const;

  /// \brief Returns the roomiest known host of each failure domain but one;
  /// this host for its own domain if there is no roomier one.
  /// \param takes_work whether this host takes work now
  std::vector<state::HostAdvert> LeadersExcept(
      const state::FailureDomainId& domain, bool takes_work,
      state::TimePoint now) const;

  /// \brief Returns the hosts that may gather for this one.
  std::vector<state::HostAdvert> Gatherers(state::TimePoint now) const;

  /// \brief Chooses the host that gathers for this one; nothing if it should
  /// gather itself. The choice is stable while the same hosts are alive.
  std::optional<state::HostAdvert> PickGatherer(state::TimePoint now) const;

  /// \brief Returns the hosts of this failure domain that follow the source for
  /// all others and are not suspected; nothing if this host follows it itself.
  ///
  /// These are the two roomiest hosts, where the domain has at least twice as
  /// many others.
  std::vector<state::HostAdvert> Watchers(state::TimePoint now) const;
  /// \brief Returns true if other hosts may follow the source through this one.
  bool MayHaveFollowers(state::TimePoint now) const;

  /// \brief Leaves a host out of PickGatherer() until it is cleared or its
  /// advert lapses.
  void Suspect(const state::HostId& host, state::TimePoint now) override;
  /// \brief Clears a host that replied to a request sent at `sent_at`, unless
  /// it was suspected since.
  void Clear(const state::HostId& host, state::TimePoint sent_at);

  std::optional<state::HostAdvert> OwnAccountant(
      state::TimePoint now) const override;
  std::vector<state::HostAdvert> OtherAccountants(
      state::TimePoint now) const override;

  const state::HostAdvert& Own() const { return this->own; }

 private:
  struct Entry {
    state::HostAdvert advert;
    state::TimePoint said_at;
    std::optional<state::TimePoint> suspected_at;
  };
  using DomainEntries = std::map<state::HostId, Entry>;

  void RemoveLapsed(DomainEntries& entries, state::TimePoint now) const;
  /// \brief Returns the roomiest host of a domain that takes work and is not
  /// suspected; null if none is known.
  const Entry* LeaderOf(const DomainEntries& entries,
                        state::TimePoint now) const;
  std::optional<state::HostAdvert> OwnLeaderLocked(state::TimePoint now) const;
  bool MayGatherHere(const Entry& entry, state::TimePoint now) const;
  /// \brief Returns the roomiest hosts of the domain, this one included; empty
  /// if there are too few to divide the work.
  std::vector<state::HostAdvert> RankedLocked(state::TimePoint now) const;

  const state::HostAdvert own;
  mutable std::mutex mutex;
  std::map<state::FailureDomainId, DomainEntries> domains;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_DELEGATION_GATHERER_ROSTER_H_
