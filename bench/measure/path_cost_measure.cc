#include "path_cost_measure.h"

#include <future>
#include <utility>
#include <variant>
#include <vector>

#include "banyanknot/protocol/caller_codec.h"
#include "banyanknot/protocol/catalogue_codec.h"
#include "direct_fan_out.h"
#include "trial.h"

namespace banyanknot::measure {
namespace {

constexpr std::uint64_t kFanOut = 20;
constexpr int kRounds = 400;
constexpr state::Duration kTimeout = state::Milliseconds(3'000);

/// Asks a host one query after another over one connection.
class HostClient {
 public:
  explicit HostClient(const state::Endpoint& host)
      : threads(1), pool(threads.Context(), clock, host, 1) {}

  /// \returns the time of one query in milliseconds; negative if it failed
  double RunOnce() {
    constexpr unsigned kHttpOk = 200;
    const state::TimePoint start = this->clock.Now();
    transport::HttpCall call(transport::AcceptAnyResponse);
    call.request = {"POST", protocol::kQueryPath,
                    R"({"service":"plans","deadline_ms":2000,"ask":{}})"};
    call.deadline = start + kTimeout;
    call.send_before = call.deadline;
    std::promise<bool> is_answered;
    this->pool.Call(
        std::move(call),
        [&is_answered](const transport::HttpCallResult& result) {
          is_answered.set_value(state::IsOk(result) &&
                                state::ValueOf(result).status == kHttpOk);
        });
    if (!is_answered.get_future().get()) return -1;
    return state::ToFractionalMilliseconds(this->clock.Now() - start);
  }

 private:
  transport::SteadyClock clock;
  transport::IoThreads threads;
  transport::HttpConnectionPool pool;
};

/// Both ways in turn, so that the machine's other work meets both alike.
void RunRounds(Trial& running, std::vector<double>& through_host,
               std::vector<double>& direct) {
  const coordination::EntryResult entry = protocol::CatalogueCodec().Decode(
      "service/plans", running.Fleet().Catalogue()["service/plans"].dump());
  if (!state::IsOk(entry)) return;
  DirectFanOut fan_out(std::get<state::ServiceEntry>(state::ValueOf(entry)));
  HostClient host(running.Fleet().Hosts().front().caller);
  for (int round = 0; round < kRounds; ++round) {
    const double host_ms = host.RunOnce();
    const double direct_ms = fan_out.RunOnce();
    if (host_ms >= 0) through_host.push_back(host_ms);
    if (direct_ms >= 0) direct.push_back(direct_ms);
  }
}

}  // namespace

Finding PathCostMeasure::Run() {
  constexpr double kMostOfDirect = 1.2;
  constexpr double kMedian = 0.5;
  constexpr double kTail = 0.99;
  standins::PlanShape shape;
  shape.program_folder = ProgramFolder();
  shape.services.front().shards = kFanOut;
  shape.services.front().service_us = 5'000;
  std::vector<double> through_host;
  std::vector<double> direct;
  const TrialResult result = Trial(shape, 1).Run(
      state::Duration(0),
      [&](Trial& running) { RunRounds(running, through_host, direct); });
  const double host_p99 = standins::QuantileOf(through_host, kTail);
  const double direct_p99 = standins::QuantileOf(direct, kTail);
  Finding finding;
  finding.error = result.error;
  finding.value = standins::QuantileOf(through_host, kMedian);
  finding.baseline = standins::QuantileOf(direct, kMedian);
  finding.unit = "ms at p50";
  finding.bound = kMostOfDirect;
  finding.bound_is_ratio = true;
  finding.also_holds = direct_p99 > 0 && host_p99 <= kMostOfDirect * direct_p99;
  finding.details = {{"p99_ms", host_p99},
                     {"direct_p99_ms", direct_p99},
                     {"answered", through_host.size()},
                     {"rounds", kRounds}};
  return finding;
}

}  // namespace banyanknot::measure
