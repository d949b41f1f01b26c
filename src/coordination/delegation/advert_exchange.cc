#include "banyanknot/coordination/delegation/advert_exchange.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace banyanknot::coordination {
namespace {

/// Several rounds within GathererRoster::kLifetime.
constexpr std::int64_t kIntervalMs = 1'000;
/// While no host of the domain is known to be roomier than others; still well
/// within the lifetime, since smaller hosts may exist that are not known.
constexpr std::int64_t kIdleIntervalMs = 2'500;
/// A host that knows gatherers also asks a seed in one of this many rounds, to
/// hear of new ones.
constexpr std::uint64_t kSeedRoundInterval = 8;

}  // namespace

AdvertExchange::AdvertExchange(const Clock& clock, TimerService& timers,
                               RandomSource& random, HostLink& link,
                               GathererRoster& roster,
                               const Readiness& readiness,
                               std::vector<state::Endpoint> seeds)
    : clock(clock),
      timers(timers),
      random(random),
      link(link),
      roster(roster),
      readiness(readiness),
      seeds(std::move(seeds)) {}

void AdvertExchange::Start() {
  if (!this->seeds.empty()) this->RunRound();
}

void AdvertExchange::RunRound() {
  const state::TimePoint now = this->clock.Now();
  for (const state::Endpoint& target : this->Targets(now)) this->Ask(target);
  this->timers.RunAt(now + this->NextInterval(now),
                     [this] { this->RunRound(); });
}

bool AdvertExchange::AreHostsAlike(state::TimePoint now) const {
  const state::HostAdvert& own = this->roster.Own();
  const std::vector<state::HostAdvert> known =
      this->roster.Adverts(own.domain, false, now);
  return std::all_of(known.begin(), known.end(),
                     [&own](const state::HostAdvert& other) {
                       return other.cores == own.cores;
                     });
}

bool AdvertExchange::KnowsOthers(state::TimePoint now) const {
  const state::HostAdvert& own = this->roster.Own();
  return this->roster.Adverts(own.domain, false, now).size() > 1;
}

std::vector<state::Endpoint> AdvertExchange::Targets(state::TimePoint now) {
  std::vector<state::Endpoint> targets;
  const std::vector<state::HostAdvert> gatherers = this->roster.Gatherers(now);
  if (!gatherers.empty()) {
    for (const state::HostAdvert& gatherer : gatherers) {
      targets.push_back(gatherer.endpoint);
    }
    if (!this->seeds.empty() && this->random.Below(kSeedRoundInterval) == 0) {
      targets.push_back(this->seeds[this->random.Below(this->seeds.size())]);
    }
    return targets;
  }
  targets = this->seeds;
  // Seeds may be gone for good; leaders of domains know each other.
  const std::vector<state::HostAdvert> leaders =
      this->roster.OtherAccountants(now);
  if (!leaders.empty()) {
    const state::Endpoint& leader =
        leaders[this->random.Below(leaders.size())].endpoint;
    if (std::find(targets.begin(), targets.end(), leader) == targets.end()) {
      targets.push_back(leader);
    }
  }
  if (this->AreHostsAlike(now)) return targets;
  const state::HostAdvert& own = this->roster.Own();
  for (const state::HostAdvert& other :
       this->roster.Adverts(own.domain, false, now)) {
    if (other.id != own.id) targets.push_back(other.endpoint);
  }
  return targets;
}

state::Duration AdvertExchange::NextInterval(state::TimePoint now) {
  const bool is_idle = this->KnowsOthers(now) && this->AreHostsAlike(now);
  const std::int64_t interval = is_idle ? kIdleIntervalMs : kIntervalMs;
  return state::Milliseconds(interval / 2 +
                             static_cast<std::int64_t>(this->random.Below(
                                 static_cast<std::uint64_t>(interval))));
}

void AdvertExchange::Ask(const state::Endpoint& host) {
  const state::TimePoint sent_at = this->clock.Now();
  state::HostAdvert own = this->roster.Own();
  own.takes_work = this->readiness.IsReady();
  if (host == own.endpoint) return;
  this->link.ExchangeAdverts(
      host, own,
      [this, host,
       sent_at](const std::optional<std::vector<state::HostAdvert>>& adverts) {
        if (!adverts) return;
        const state::TimePoint now = this->clock.Now();
        for (state::HostAdvert advert : *adverts) {
          // How long the response was on its way isn't known; a lost host must
          // not grow younger each time that it is passed on.
          advert.age += now - sent_at;
          this->roster.Hear(advert, now);
          if (advert.endpoint == host) this->roster.Clear(advert.id, sent_at);
        }
      });
}

}  // namespace banyanknot::coordination
