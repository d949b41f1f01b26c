#ifndef BANYANKNOT_TEST_COORDINATION_QUOTA_QUOTA_FLEET_H_
#define BANYANKNOT_TEST_COORDINATION_QUOTA_QUOTA_FLEET_H_

#include <algorithm>
#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "banyanknot/Coordination"
#include "coordination/fleet/support/virtual_time.h"

namespace banyanknot::coordination::quota_testing {

using state::Milliseconds;

class NullLog : public EventLog {
 public:
  void Write(EventCode /*code*/,
             const std::vector<LogField>& /*fields*/) override {}
};

/// \brief The size of a fleet and the quota of its one workspace.
struct FleetSpec {
  std::size_t domains = 4;
  std::size_t hosts_per_domain = 5;
  state::Quota quota{8, 16};
  double over = 0.25;
  double slack = 20;
};

/// \brief Hosts that keep one quota together, in virtual time, over a network
/// that a test cuts.
///
/// Hosts hear of each other once a second, where they can. Not thread-safe.
class QuotaFleet {
 public:
  explicit QuotaFleet(const FleetSpec& spec) : spec(spec) {
    this->rules.over = spec.over;
    this->rules.slack = spec.slack;
    for (std::size_t domain = 0; domain < spec.domains; ++domain) {
      this->rules.domains.emplace_back(DomainName(domain));
    }
    this->Publish(spec.quota);
    for (std::size_t place = 0; place < this->Places(); ++place) {
      this->hosts.push_back(std::make_unique<Host>(*this, place));
    }
    this->Tick();
  }

  std::size_t Places() const {
    return this->spec.domains * this->spec.hosts_per_domain;
  }
  std::size_t DomainOf(std::size_t place) const {
    return place / this->spec.hosts_per_domain;
  }
  void Advance(state::Duration duration) { this->time.Advance(duration); }

  /// \brief Sends a request to the host at a place. A dead host takes none.
  void Request(std::size_t place) {
    Host& host = *this->hosts[place];
    if (!host.is_alive) return;
    ++this->asked;
    this->CountIdeal();
    host.gate.Acquire(this->table->Workspaces().front(),
                      [this, &host](const QuotaDecision& decision) {
                        if (!host.is_alive) return;
                        if (decision.is_admitted) {
                          this->admitted_at.push_back(this->time.Now());
                        } else {
                          ++this->refused;
                          this->last_retry_after = decision.retry_after;
                        }
                      });
  }
  /// \brief Sends requests at random times, `rate` a second, to hosts that
  /// `place` chooses.
  template <typename Place>
  void Load(double rate, state::Duration duration, Place place) {
    const state::TimePoint end = this->time.Now() + duration;
    std::exponential_distribution<double> gap_s(rate);
    while (true) {
      const state::Duration gap =
          state::FromFractionalMilliseconds(gap_s(this->engine) * 1e3);
      if (this->time.Now() + gap >= end) break;
      this->Advance(gap);
      this->Request(place());
    }
    this->Advance(end - this->time.Now());
  }
  std::size_t AnyPlace() { return this->engine() % this->Places(); }
  std::size_t PlaceIn(std::size_t domain) {
    return domain * this->spec.hosts_per_domain +
           this->engine() % this->spec.hosts_per_domain;
  }

  /// \brief Returns how much larger the share of refused requests is than with
  /// one bucket that all hosts reach at once.
  double RefusedBeyondIdeal() const {
    return this->RefusedShare() - static_cast<double>(this->ideal_refused) /
                                      static_cast<double>(this->asked);
  }

  void Kill(std::size_t place) { this->hosts[place]->is_alive = false; }
  /// \brief Starts a host with empty memory at a place.
  void Restart(std::size_t place) {
    this->hosts[place]->is_alive = false;
    this->dead.push_back(std::move(this->hosts[place]));
    this->hosts[place] = std::make_unique<Host>(*this, place);
  }
  /// \brief Puts hosts into groups that don't reach each other.
  void Split(std::map<std::size_t, int> group_by_place) {
    this->groups = std::move(group_by_place);
  }
  void CutDomain(std::size_t domain) {
    std::map<std::size_t, int> cut;
    for (std::size_t place = 0; place < this->Places(); ++place) {
      cut[place] = this->DomainOf(place) == domain ? 1 : 0;
    }
    this->Split(std::move(cut));
  }
  void Heal() {
    this->groups.clear();
    this->one_way.clear();
  }
  /// \brief Loses what the host at `from` sends to `to`.
  void CutOneWay(std::size_t from, std::size_t to) {
    this->one_way.emplace(from, to);
  }

  /// \brief Puts a quota in force at all hosts.
  void Publish(const state::Quota& quota) {
    state::Workspace workspace;
    workspace.id = state::WorkspaceId("farm");
    workspace.quota = quota;
    this->table = std::make_shared<const state::RouteTable>(
        ++this->version, std::vector<state::Route>(),
        std::vector<state::ServiceSpec>(), state::CallerLimits(),
        std::vector<state::Workspace>{workspace});
    for (const std::unique_ptr<Host>& host : this->hosts) {
      host->routes.InstallIfNewer(this->table);
    }
  }

  /// \brief Returns the most requests admitted in a window, from `since` on.
  std::size_t MostInWindow(state::TimePoint since = {}) const {
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < this->admitted_at.size(); ++last) {
      if (this->admitted_at[last] < since) {
        first = last + 1;
        continue;
      }
      while (this->admitted_at[last] - this->admitted_at[first] >
             this->rules.window) {
        ++first;
      }
      most = std::max(most, last - first + 1);
    }
    return most;
  }
  double Limit() const {
    return (this->spec.quota.rate * 5 + this->spec.quota.burst) *
               (1 + this->spec.over) +
           this->spec.slack;
  }
  double RefusedShare() const {
    return this->asked == 0 ? 0
                            : static_cast<double>(this->refused) /
                                  static_cast<double>(this->asked);
  }

  fleet_testing::VirtualTime time;
  std::mt19937_64 engine{1};
  std::vector<state::TimePoint> admitted_at;
  std::size_t asked = 0;
  std::size_t refused = 0;
  std::size_t messages = 0;  // between hosts
  std::size_t messages_between_domains = 0;
  state::Duration last_retry_after{0};

 private:
  static constexpr state::Duration kDelay = Milliseconds(1);
  static constexpr state::Duration kHearInterval = Milliseconds(1'000);
  static constexpr state::Duration kHeardLifetime = Milliseconds(5'000);
  static constexpr state::Duration kSuspicion = Milliseconds(1'000);

  static std::string DomainName(std::size_t domain) {
    return "domain" + std::to_string(domain);
  }

  struct Host : AccountantDirectory, QuotaLink {
    Host(QuotaFleet& fleet, std::size_t place)
        : fleet(fleet),
          place(place),
          id("host" + std::to_string(place)),
          accountant(fleet.time, routes, fleet.rules, id, *this, *this),
          gate(fleet.time, fleet.time, routes, id, *this, *this, accountant,
               log) {
      this->routes.InstallIfNewer(fleet.table);
      this->gate.Start();
    }

    std::optional<state::HostAdvert> OwnAccountant(
        state::TimePoint now) const override {
      const std::optional<std::size_t> leader =
          this->Leader(this->fleet.DomainOf(this->place), now);
      if (!leader || *leader == this->place) return std::nullopt;
      return this->fleet.AdvertOf(*leader);
    }
    std::vector<state::HostAdvert> OtherAccountants(
        state::TimePoint now) const override {
      std::vector<state::HostAdvert> leaders;
      for (std::size_t domain = 0; domain < this->fleet.spec.domains;
           ++domain) {
        if (domain == this->fleet.DomainOf(this->place)) continue;
        const std::optional<std::size_t> leader = this->Leader(domain, now);
        if (leader) leaders.push_back(this->fleet.AdvertOf(*leader));
      }
      return leaders;
    }
    void Suspect(const state::HostId& host, state::TimePoint now) override {
      this->suspected_at[host] = now;
    }
    void AskCredit(const state::Endpoint& host, const CreditRequest& request,
                   state::Duration timeout, CreditHandler handler) override {
      this->fleet.Deliver(this->place, host.port, request, timeout,
                          std::move(handler));
    }

    std::optional<std::size_t> Leader(std::size_t domain,
                                      state::TimePoint now) const {
      const std::size_t first = domain * this->fleet.spec.hosts_per_domain;
      for (std::size_t other = first;
           other < first + this->fleet.spec.hosts_per_domain; ++other) {
        if (other == this->place) return other;
        const auto heard = this->heard_at.find(other);
        if (heard == this->heard_at.end() ||
            now - heard->second >= kHeardLifetime) {
          continue;
        }
        const auto suspected =
            this->suspected_at.find(this->fleet.AdvertOf(other).id);
        if (suspected == this->suspected_at.end() ||
            (heard->second > suspected->second &&
             now - suspected->second >= kSuspicion)) {
          return other;
        }
      }
      return std::nullopt;
    }

    QuotaFleet& fleet;
    const std::size_t place;
    const state::HostId id;
    bool is_alive = true;
    NullLog log;
    RouteDirectory routes;
    std::map<std::size_t, state::TimePoint> heard_at;
    std::map<state::HostId, state::TimePoint> suspected_at;
    QuotaAccountant accountant;
    FleetQuotaGate gate;
  };

  void CountIdeal() {
    const state::Quota& quota = this->table->Workspaces().front()->quota;
    const double elapsed_s =
        std::chrono::duration<double>(this->time.Now() - this->ideal_filled_at)
            .count();
    this->ideal_filled_at = this->time.Now();
    this->ideal_credit =
        std::min(quota.burst, this->ideal_credit + elapsed_s * quota.rate);
    if (this->ideal_credit >= 1) {
      this->ideal_credit -= 1;
    } else {
      ++this->ideal_refused;
    }
  }

  state::HostAdvert AdvertOf(std::size_t place) const {
    state::HostAdvert advert;
    advert.id = state::HostId("host" + std::to_string(place));
    advert.endpoint.port = static_cast<std::uint16_t>(place);
    return advert;
  }
  bool Reaches(std::size_t from, std::size_t to) const {
    const auto group_of = [this](std::size_t place) {
      const auto found = this->groups.find(place);
      return found == this->groups.end() ? 0 : found->second;
    };
    return this->hosts[from]->is_alive && this->hosts[to]->is_alive &&
           group_of(from) == group_of(to) &&
           this->one_way.count({from, to}) == 0;
  }
  void Tick() {
    const state::TimePoint now = this->time.Now();
    for (std::size_t from = 0; from < this->hosts.size(); ++from) {
      for (std::size_t to = 0; to < this->hosts.size(); ++to) {
        if (from != to && this->Reaches(from, to)) {
          this->hosts[to]->heard_at[from] = now;
        }
      }
    }
    this->time.RunAt(now + kHearInterval, [this] { this->Tick(); });
  }
  void Deliver(std::size_t from, std::size_t to, const CreditRequest& request,
               state::Duration timeout, CreditHandler handler) {
    ++this->messages;
    if (this->DomainOf(from) != this->DomainOf(to)) {
      ++this->messages_between_domains;
    }
    Host* const sender = this->hosts[from].get();
    const std::shared_ptr<CreditHandler> once =
        std::make_shared<CreditHandler>(std::move(handler));
    const auto finish = [this, sender,
                         once](const std::optional<CreditGrant>& grant) {
      const CreditHandler taken = std::exchange(*once, nullptr);
      if (taken && sender->is_alive) taken(grant);
    };
    this->time.RunAt(this->time.Now() + timeout,
                     [finish] { finish(std::nullopt); });
    this->time.RunAt(this->time.Now() + kDelay, [this, from, to, request,
                                                 sender, finish] {
      if (this->hosts[from].get() != sender || !this->Reaches(from, to)) return;
      const CreditHandler reply =
          [this, from, to, finish](const std::optional<CreditGrant>& grant) {
            if (!this->Reaches(to, from)) return;
            this->time.RunAt(this->time.Now() + kDelay,
                             [finish, grant] { finish(grant); });
          };
      if (request.action == CreditAction::kBorrow) {
        reply(this->hosts[to]->accountant.Lend(request));
      } else {
        this->hosts[to]->accountant.Take(request, reply);
      }
    });
  }

  const FleetSpec spec;
  QuotaRules rules;
  double ideal_credit = 1e9;
  state::TimePoint ideal_filled_at;
  std::size_t ideal_refused = 0;
  std::uint64_t version = 0;
  state::RouteTablePtr table;
  std::vector<std::unique_ptr<Host>> hosts;  // by place
  std::vector<std::unique_ptr<Host>> dead;
  std::map<std::size_t, int> groups;
  std::set<std::pair<std::size_t, std::size_t>> one_way;
};

}  // namespace banyanknot::coordination::quota_testing

#endif  // BANYANKNOT_TEST_COORDINATION_QUOTA_QUOTA_FLEET_H_
