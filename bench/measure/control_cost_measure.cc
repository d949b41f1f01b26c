#include "control_cost_measure.h"

#include <algorithm>
#include <sstream>
#include <vector>

#include "process_usage.h"
#include "trial.h"

namespace banyanknot::measure {
namespace {

constexpr double kTargetHosts = 570;
constexpr double kTargetServers = 2'900;
constexpr state::Duration kSettling = state::Milliseconds(8'000);
constexpr state::Duration kWatched = state::Milliseconds(10'000);

/// What one host spends on average, and the size at which it does.
struct ControlCost {
  double hosts = 0;
  double servers = 0;
  double core_percent = 0;
  double megabytes = 0;
  double bytes_per_second = 0;
  std::string error;
};

double ReadMetric(standins::Deployment& fleet,
                  const standins::DeployedHost& host, const std::string& name) {
  const transport::HttpCallResult result =
      fleet.Client().Call(host.caller, "GET", "/metrics", "");
  if (!state::IsOk(result)) return 0;
  std::istringstream lines(state::ValueOf(result).body);
  for (std::string line; std::getline(lines, line);) {
    if (line.rfind(name + " ", 0) == 0) {
      return std::stod(line.substr(name.size() + 1));
    }
  }
  return 0;
}

/// Adds up what all hosts have used so far.
ControlCost SumUsage(standins::Deployment& fleet) {
  ControlCost sum;
  for (const standins::DeployedHost& host : fleet.Hosts()) {
    const standins::ProcessUsage usage =
        standins::ReadProcessUsage(host.process->Pid());
    sum.core_percent += usage.processor_seconds * 100;
    sum.megabytes += usage.resident_megabytes;
    sum.bytes_per_second +=
        ReadMetric(fleet, host, "banyanknot_peer_bytes_sent_total");
  }
  return sum;
}

ControlCost MeasureAt(std::uint64_t hosts_per_domain, std::uint64_t shards) {
  standins::PlanShape shape;
  shape.program_folder = ProgramFolder();
  shape.hosts_per_domain = hosts_per_domain;
  shape.services.front().shards = shards;
  standins::Deployment fleet(standins::MakePlan(shape));
  ControlCost cost;
  cost.error = fleet.Start();
  if (!cost.error.empty()) return cost;
  Wait(kSettling);
  const ControlCost before = SumUsage(fleet);
  Wait(kWatched);
  const ControlCost after = SumUsage(fleet);
  const double seconds = std::chrono::duration<double>(kWatched).count();
  cost.hosts = static_cast<double>(fleet.Hosts().size());
  cost.servers = static_cast<double>(shards * shape.services.front().replicas);
  const double host_seconds = cost.hosts * seconds;
  cost.core_percent = (after.core_percent - before.core_percent) / host_seconds;
  cost.megabytes = after.megabytes / cost.hosts;
  cost.bytes_per_second =
      (after.bytes_per_second - before.bytes_per_second) / host_seconds;
  return cost;
}

nlohmann::json ToDetails(const ControlCost& cost) {
  return {{"hosts", cost.hosts},
          {"servers", cost.servers},
          {"core_percent", cost.core_percent},
          {"megabytes", cost.megabytes},
          {"bytes_per_second", cost.bytes_per_second}};
}

/// Follows the slopes from `base` to the target size.
double AtTarget(double ControlCost::*member, const ControlCost& base,
                const ControlCost& more_hosts,
                const ControlCost& more_servers) {
  const double a_host =
      (more_hosts.*member - base.*member) / (more_hosts.hosts - base.hosts);
  const double a_server = (more_servers.*member - base.*member) /
                          (more_servers.servers - base.servers);
  return base.*member + std::max(0.0, a_host) * (kTargetHosts - base.hosts) +
         std::max(0.0, a_server) * (kTargetServers - base.servers);
}

}  // namespace

Finding ControlCostMeasure::Run() {
  constexpr double kMostCorePercent = 2.3;
  constexpr double kMostMegabytes = 32;
  constexpr double kMostBytes = 4'000;
  const ControlCost base = MeasureAt(3, 20);
  const ControlCost more_hosts = MeasureAt(10, 20);
  const ControlCost more_servers = MeasureAt(3, 290);
  Finding finding;
  finding.error = base.error + more_hosts.error + more_servers.error;
  if (!finding.error.empty()) return finding;
  const double megabytes =
      AtTarget(&ControlCost::megabytes, base, more_hosts, more_servers);
  const double bytes =
      AtTarget(&ControlCost::bytes_per_second, base, more_hosts, more_servers);
  finding.value =
      AtTarget(&ControlCost::core_percent, base, more_hosts, more_servers);
  finding.unit = "% of a core at 570 hosts and 2900 servers";
  finding.bound = kMostCorePercent;
  finding.also_holds = megabytes <= kMostMegabytes && bytes <= kMostBytes;
  finding.details = {
      {"megabytes", megabytes},
      {"bytes_per_second", bytes},
      {"measured",
       {ToDetails(base), ToDetails(more_hosts), ToDetails(more_servers)}}};
  return finding;
}

}  // namespace banyanknot::measure
