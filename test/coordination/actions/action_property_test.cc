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

// One caller's action and the replies to each of its calls.
struct PostedAction {
  state::Action action;
  std::vector<std::shared_ptr<std::vector<state::ActionReply>>> asks;
};

// Three hosts with message loss, delay, duplication, crashes and server faults.
class ChaosRun {
 public:
  ChaosRun(std::uint64_t seed, const ActionPolicy& policy)
      : random(seed), policy(policy) {
    this->world.network.delays = [this] { return this->DrawDelays(); };
    this->world.servers.outcome_source = [this](const state::SubRequest&) {
      return this->DrawOutcome();
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

  SimulatedFleet world;
  std::vector<PostedAction> posted;

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
      host->AddHost(this->hosts[index]->identity);
      this->hosts[index]->AddHost(host->identity);
    }
  }

  void Step() {
    ActionHost& host = *this->hosts[this->Below(kHosts)];
    if (OneIn(12)) {
      this->Start(this->Below(kHosts));
    } else if (OneIn(8)) {
      host.gate.closed = host.gate.closed.empty()
                             ? std::set<std::string>{"b1", "b2"}
                             : std::set<std::string>{};
    } else if (this->posted.empty() || OneIn(3)) {
      PostedAction next;
      next.action =
          ActionWith(host.Issue(), std::to_string(this->posted.size()));
      this->posted.push_back(next);
    } else {
      PostedAction& chosen = this->posted[this->Below(this->posted.size())];
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

  AttemptOutcome DrawOutcome() {
    AttemptOutcome attempt_outcome;
    attempt_outcome.delay =
        state::Milliseconds(this->Below(OneIn(5) ? 400 : 5));
    if (OneIn(3)) return attempt_outcome;
    if (OneIn(2)) {
      attempt_outcome.failure =
          kBackendFailureNames[this->Below(kBackendFailureNames.size())].value;
      attempt_outcome.runs =
          !IsProvenNotRun(*attempt_outcome.failure) && !OneIn(3);
      return attempt_outcome;
    }
    attempt_outcome.status = this->DrawStatus();
    attempt_outcome.runs =
        attempt_outcome.status == state::ReplyStatus::kOk ||
        attempt_outcome.status == state::ReplyStatus::kFailed ||
        attempt_outcome.status == state::ReplyStatus::kDeadline ||
        attempt_outcome.status == state::ReplyStatus::kCancelled;
    attempt_outcome.is_mismatched = OneIn(4);
    // A mismatched reply belongs to another request.
    if (attempt_outcome.is_mismatched)
      attempt_outcome.status = this->DrawStatus();
    return attempt_outcome;
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

struct RunCounts {
  int asked = 0;
  int told_ok = 0;
  int told_not_run = 0;
  int told_unknown = 0;
  int run_twice = 0;        // ran more than once
  int false_not_run = 0;    // reported not_run, but ran
  int false_run = 0;        // reported ok or failed, but did not run
  int outcome_changes = 0;  // two different final outcomes
  int answered_twice = 0;   // one call with several replies
};

bool IsFinal(state::Outcome outcome) {
  return outcome == state::Outcome::kOk || outcome == state::Outcome::kFailed ||
         outcome == state::Outcome::kNotRun;
}

void CheckRun(ChaosRun& run, RunCounts& counts) {
  for (const PostedAction& posted : run.posted) {
    const int runs = run.world.servers.runs_by_ask[posted.action.ask];
    if (runs > 1) ++counts.run_twice;
    std::optional<state::Outcome> final_outcome;
    for (const std::shared_ptr<std::vector<state::ActionReply>>& ask :
         posted.asks) {
      ++counts.asked;
      if (ask->size() > 1) ++counts.answered_twice;
      for (const state::ActionReply& reply : *ask) {
        const state::Outcome outcome = reply.outcome;
        if (outcome == state::Outcome::kOk) ++counts.told_ok;
        if (outcome == state::Outcome::kUnknown) ++counts.told_unknown;
        if (outcome == state::Outcome::kNotRun) ++counts.told_not_run;
        if (outcome == state::Outcome::kNotRun && runs > 0) {
          ++counts.false_not_run;
        }
        if (IsFinal(outcome) && outcome != state::Outcome::kNotRun &&
            runs == 0) {
          ++counts.false_run;
        }
        if (!IsFinal(outcome)) continue;
        if (final_outcome && *final_outcome != outcome)
          ++counts.outcome_changes;
        final_outcome = outcome;
      }
    }
  }
}

RunCounts RunAll(const ActionPolicy& policy) {
  RunCounts counts;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    ChaosRun run(seed, policy);
    run.Run();
    CheckRun(run, counts);
  }
  return counts;
}

TEST_CASE("Under any fault a ticket runs at most once and not_run is true") {
  const RunCounts counts = RunAll(AtMostOncePolicy());
  CHECK(counts.run_twice == 0);
  CHECK(counts.false_not_run == 0);
  CHECK(counts.false_run == 0);
  CHECK(counts.outcome_changes == 0);
  CHECK(counts.answered_twice == 0);
  // The zeros above are meaningful only if the seeds reach every outcome.
  CHECK(counts.asked > 3'000);
  CHECK(counts.told_ok > 500);
  CHECK(counts.told_not_run > 100);
  CHECK(counts.told_unknown > 500);
}

TEST_CASE("The baseline runs actions twice and reports not_run of run ones") {
  const RunCounts counts = RunAll(RetryAnyFailurePolicy());
  CHECK(counts.run_twice > 0);
  CHECK(counts.false_not_run > 0);
}

}  // namespace
}  // namespace banyanknot::coordination::action_test
