#include "coordination/routing/choice_replay.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>
#include <queue>
#include <random>

namespace banyanknot::coordination::routing_testing {
namespace {

constexpr std::size_t kSlots = 2;

/// What a host remembers of one server.
struct Knowledge {
  double reported_others = 0;
  double reported_at_ms = 0;
  double next_report_ms = 0;
  double own = 0;
  double reply_ms = 4;
};

struct Completion {
  double at_ms = 0;
  std::size_t host = 0;
  std::size_t server = 0;
  double sent_at_ms = 0;

  bool operator>(const Completion& other) const {
    return this->at_ms > other.at_ms;
  }
};

/// Serves requests in order of arrival.
struct Server {
  std::vector<double> free_at_ms = std::vector<double>(kSlots, 0.0);
  double open = 0;

  double Add(double now_ms, double service_ms) {
    const std::vector<double>::iterator slot =
        std::min_element(this->free_at_ms.begin(), this->free_at_ms.end());
    *slot = std::max(*slot, now_ms) + service_ms;
    ++this->open;
    return *slot;
  }
};

class Replay {
 public:
  Replay(ServerChoiceKind kind, const ReplayCase& setup)
      : setup(setup),
        engine(setup.seed),
        choice(kind, setup.seed + 1),
        period_ms(state::ToFractionalMilliseconds(setup.report_period)),
        servers(setup.service_ms.size()),
        known(setup.hosts, std::vector<Knowledge>(servers.size())) {
    for (std::vector<Knowledge>& of_host : this->known) {
      for (Knowledge& of_server : of_host) {
        of_server.next_report_ms = this->Fraction() * this->period_ms;
      }
    }
  }

  ReplayResult Run() {
    const double end_ms = state::ToFractionalMilliseconds(this->setup.length);
    const double gap_ms = this->MeanGapMs();
    ReplayResult result;
    double spread = 0;
    double late = 0;
    double time_ms = 0;
    double now_ms = 0;
    while (true) {
      now_ms -= gap_ms * std::log(1 - this->Fraction());
      if (now_ms >= end_ms) break;
      this->AdvanceTo(now_ms);
      const std::size_t host = static_cast<std::size_t>(
          this->Fraction() * static_cast<double>(this->setup.hosts));
      const double work = 0.5 + this->Fraction();
      const double sojourn_ms = this->Send(host, work, now_ms);
      ++result.requests;
      time_ms += sojourn_ms;
      spread += this->Spread();
      if (sojourn_ms > this->LimitMs()) ++late;
    }
    const double count = static_cast<double>(result.requests);
    result.spread = spread / count;
    result.overruns = late / count;
    result.mean_time_ms = time_ms / count;
    return result;
  }

 private:
  double Fraction() {
    return static_cast<double>(this->engine() >> 11) /
           static_cast<double>(std::uint64_t{1} << 53);
  }

  double MeanGapMs() const {
    double capacity = 0;
    for (const double service_ms : this->setup.service_ms) {
      capacity += kSlots / service_ms;
    }
    return 1 / (capacity * this->setup.load);
  }

  double LimitMs() const {
    return 5 *
           std::accumulate(this->setup.service_ms.begin(),
                           this->setup.service_ms.end(), 0.0) /
           static_cast<double>(this->setup.service_ms.size());
  }

  void AdvanceTo(double now_ms) {
    while (!this->completions.empty() &&
           this->completions.top().at_ms <= now_ms) {
      const Completion done = this->completions.top();
      this->ReportBefore(done.at_ms);
      this->completions.pop();
      --this->servers[done.server].open;
      Knowledge& known_of = this->known[done.host][done.server];
      --known_of.own;
      const double newest_ms = done.at_ms - done.sent_at_ms;
      known_of.reply_ms += (newest_ms > known_of.reply_ms ? 0.25 : 0.1) *
                           (newest_ms - known_of.reply_ms);
    }
    this->ReportBefore(now_ms);
  }

  // Reports between two events all see the same queues.
  void ReportBefore(double now_ms) {
    for (std::vector<Knowledge>& of_host : this->known) {
      for (std::size_t index = 0; index < this->servers.size(); ++index) {
        Knowledge& known_of = of_host[index];
        if (known_of.next_report_ms > now_ms) continue;
        known_of.reported_others = this->servers[index].open - known_of.own;
        known_of.reported_at_ms =
            this->period_ms > 0 ? known_of.next_report_ms : now_ms;
        known_of.next_report_ms += this->period_ms;
      }
    }
  }

  double Send(std::size_t host, double work, double now_ms) {
    std::vector<ServerObservation> observed;
    for (std::size_t index = 0; index < this->servers.size(); ++index) {
      const Knowledge& known_of = this->known[host][index];
      ServerObservation server;
      server.reply_time = state::FromFractionalMilliseconds(
          this->setup.learns_times ? known_of.reply_ms
                                   : this->setup.service_ms[index]);
      server.slots = kSlots;
      server.own_requests = known_of.own;
      server.others = ObservedRequests{
          known_of.reported_others,
          state::FromFractionalMilliseconds(now_ms - known_of.reported_at_ms)};
      observed.push_back(server);
    }
    const std::size_t chosen = this->choice.Choice().Choose(observed);
    const double end_ms = this->servers[chosen].Add(
        now_ms, work * this->setup.service_ms[chosen]);
    ++this->known[host][chosen].own;
    this->completions.push({end_ms, host, chosen, now_ms});
    return end_ms - now_ms;
  }

  double Spread() const {
    const auto by_open = [](const Server& left, const Server& right) {
      return left.open < right.open;
    };
    return std::max_element(this->servers.begin(), this->servers.end(), by_open)
               ->open -
           std::min_element(this->servers.begin(), this->servers.end(), by_open)
               ->open;
  }

  const ReplayCase& setup;
  std::mt19937_64 engine;
  const ChoiceUnderTest choice;
  const double period_ms;
  std::vector<Server> servers;
  std::vector<std::vector<Knowledge>> known;
  std::priority_queue<Completion, std::vector<Completion>, std::greater<>>
      completions;
};

}  // namespace

ReplayResult ReplayChoices(ServerChoiceKind kind, const ReplayCase& setup) {
  return Replay(kind, setup).Run();
}

}  // namespace banyanknot::coordination::routing_testing
