#include "banyanknot/coordination/routing/reachability_readiness.h"

#include <string>

namespace banyanknot::coordination {
namespace {

/// Unreachable share of the recently observed servers in other domains. One
/// failed domain of three is half of what the other two observe.
constexpr double kCutOffShare = 0.75;
/// Fewer indicate failures of single servers, not of this host.
constexpr std::size_t kMinUnreachable = 3;
/// Age up to which replies count; the load balancer polls once a second.
constexpr state::Duration kObservationWindow = state::Milliseconds(1'200);

}  // namespace

ReachabilityReadiness::ReachabilityReadiness(const Clock& clock,
                                             const RouteDirectory& routes,
                                             const ServerDirectory& servers,
                                             EventLog& log)
    : clock(clock), routes(routes), servers(servers), log(log) {}

bool ReachabilityReadiness::IsCutOff() const {
  const ReachabilityCounts reach =
      this->servers.CountReachability(this->clock.Now() - kObservationWindow);
  const std::size_t observed = reach.replied + reach.unreachable;
  const bool is_cut_off = reach.unreachable >= kMinUnreachable &&
                          static_cast<double>(reach.unreachable) >=
                              kCutOffShare * static_cast<double>(observed);
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (is_cut_off != this->was_cut_off) {
    this->was_cut_off = is_cut_off;
    this->log.Write(
        is_cut_off ? EventCode::kReachLost : EventCode::kReachRegained,
        {{"replied", std::to_string(reach.replied)},
         {"unreached", std::to_string(reach.unreachable)}});
  }
  return is_cut_off;
}

bool ReachabilityReadiness::IsReady() const {
  return this->routes.Current() != nullptr && !this->servers.IsEmpty() &&
         !this->IsCutOff();
}

}  // namespace banyanknot::coordination
