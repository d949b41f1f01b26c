#include <catch2/catch.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "coordination/actions/action_world.h"

namespace banyanknot::coordination::action_test {
namespace {

constexpr int kSeeds = 150;
constexpr std::size_t kHosts = 3;
constexpr int kSteps = 60;

// One caller's action and all that it was told of it.
struct Posted {
  state::Action action;
  std::vector<std::shared_ptr<std::vector<state::ActionReply>>> asks;
};

// Three hosts under loss, delay, repetition, crashes and failing servers.
class ChaosRun {
 public:
  ChaosRun(std::uint64_t seed, const ActionPolicy& policy)
      : random(seed), policy(policy) {
    this->world.network.delays = [this] { return this->DrawDelays(); };
    this->world.servers.fate_source = [this](const state::SubRequest&) {
      return this->DrawFate();
    };
    for (std::size_t index = 0; index < kHosts; ++index) this->Start(index);
  }

  void Run() {
    for (int step = 0; step < kSteps; ++step) {
      this->Step();
      this->world.time.RunFor(state::Milliseconds(this->Below(60)));
    }
    this->world.time.RunFor(state::Milliseconds(5'000));
  }

  ActionWorld world;
  std::vector<Posted> posted;

 private:
  std::uint64_t Below(std::uint64_t bound) { return this->random() % bound; }
  bool OneIn(std::uint64_t count) { return this->Below(count) == 0; }

  void Start(std::size_t index) {
    const std::string id = "h" + std::to_string(index);
    this->hosts[index].reset();
    this->hosts[index] = std::make_unique<ActionHost>(
        this->world, id, static_cast<std::uint16_t>(index + 1),
        ++this->last_origin, this->policy);
    for (const std::unique_ptr<ActionHost>& host : this->hosts) {
      if (host == nullptr) continue;
      host->Know(this->hosts[index]->identity);
      this->hosts[index]->Know(host->identity);
    }
  }

  void Step() {
    ActionHost& host = *this->hosts[this->Below(kHosts)];
    if (OneIn(12)) {
      this->Start(this->Below(kHosts));
    } else if (OneIn(8)) {
      host.gate.shut = host.gate.shut.empty()
                           ? std::set<std::string>{"b1", "b2"}
                           : std::set<std::string>{};
    } else if (this->posted.empty() || OneIn(3)) {
      Posted next;
      next.action =
          ActionWith(host.Issue(), std::to_string(this->posted.size()));
      this->posted.push_back(next);
    } else {
      Posted& chosen = this->posted[this->Below(this->posted.size())];
      chosen.asks.push_back(host.Ask(chosen.action));
    }
  }

  std::vector<state::Duration> DrawDelays() {
    std::vector<state::Duration> delays;
    if (OneIn(4)) return delays;
    delays.push_back(state::Milliseconds(this->Below(OneIn(5) ? 700 : 5)));
    if (OneIn(4)) delays.push_back(state::Milliseconds(this->Below(900)));
    return delays;
  }

  AttemptFate DrawFate() {
    AttemptFate fate;
    fate.delay = state::Milliseconds(this->Below(OneIn(5) ? 400 : 5));
    if (OneIn(3)) return fate;
    if (OneIn(2)) {
      fate.failure =
          kBackendFailureNames[this->Below(kBackendFailureNames.size())].value;
      fate.runs = !IsProvenNotRun(*fate.failure) && !OneIn(3);
      return fate;
    }
    fate.status = this->DrawStatus();
    fate.runs = fate.status == state::ReplyStatus::kOk ||
                fate.status == state::ReplyStatus::kFailed ||
                fate.status == state::ReplyStatus::kDeadline ||
                fate.status == state::ReplyStatus::kCancelled;
    fate.is_crossed = OneIn(4);
    // A crossed reply tells of another request.
    if (fate.is_crossed) fate.status = this->DrawStatus();
    return fate;
  }

  state::ReplyStatus DrawStatus() {
    return state::kReplyStatusNames[this->Below(
                                        state::kReplyStatusNames.size())]
        .value;
  }

  std::mt19937_64 random;
  const ActionPolicy& policy;
  std::uint64_t last_origin = 100;
  std::array<std::unique_ptr<ActionHost>, kHosts> hosts;
};

struct Findings {
  int asked = 0;
  int told_ok = 0;
  int told_not_run = 0;
  int told_unknown = 0;
  int doubled = 0;         // ran more than once
  int false_not_run = 0;   // told not_run of one that ran
  int false_run = 0;       // told ok or failed of one that did not run
  int changed_mind = 0;    // told two final outcomes that differ
  int answered_twice = 0;  // one ask with several replies
};

bool IsFinal(state::Outcome outcome) {
  return outcome == state::Outcome::kOk || outcome == state::Outcome::kFailed ||
         outcome == state::Outcome::kNotRun;
}

void Look(ChaosRun& run, Findings& findings) {
  for (const Posted& posted : run.posted) {
    const int runs = run.world.servers.runs_by_ask[posted.action.ask];
    if (runs > 1) ++findings.doubled;
    std::optional<state::Outcome> final_outcome;
    for (const std::shared_ptr<std::vector<state::ActionReply>>& ask :
         posted.asks) {
      ++findings.asked;
      if (ask->size() > 1) ++findings.answered_twice;
      for (const state::ActionReply& reply : *ask) {
        const state::Outcome outcome = reply.outcome;
        if (outcome == state::Outcome::kOk) ++findings.told_ok;
        if (outcome == state::Outcome::kUnknown) ++findings.told_unknown;
        if (outcome == state::Outcome::kNotRun) ++findings.told_not_run;
        if (outcome == state::Outcome::kNotRun && runs > 0) {
          ++findings.false_not_run;
        }
        if (IsFinal(outcome) && outcome != state::Outcome::kNotRun &&
            runs == 0) {
          ++findings.false_run;
        }
        if (!IsFinal(outcome)) continue;
        if (final_outcome && *final_outcome != outcome) ++findings.changed_mind;
        final_outcome = outcome;
      }
    }
  }
}

Findings RunAll(const ActionPolicy& policy) {
  Findings findings;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    ChaosRun run(seed, policy);
    run.Run();
    Look(run, findings);
  }
  return findings;
}

TEST_CASE("Whatever fails, a ticket runs at most once and not_run is true") {
  const Findings findings = RunAll(AtMostOncePolicy());
  CHECK(findings.doubled == 0);
  CHECK(findings.false_not_run == 0);
  CHECK(findings.false_run == 0);
  CHECK(findings.changed_mind == 0);
  CHECK(findings.answered_twice == 0);
  // The seeds reach every kind of outcome, or the zeros above say little.
  CHECK(findings.asked > 3'000);
  CHECK(findings.told_ok > 500);
  CHECK(findings.told_not_run > 100);
  CHECK(findings.told_unknown > 500);
}

TEST_CASE("The baseline doubles actions and says not_run of ones that ran") {
  const Findings findings = RunAll(RetryAnyFailurePolicy());
  CHECK(findings.doubled > 0);
  CHECK(findings.false_not_run > 0);
}

}  // namespace
}  // namespace banyanknot::coordination::action_test
