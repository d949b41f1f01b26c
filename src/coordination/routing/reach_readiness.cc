#include "banyanknot/coordination/routing/reach_readiness.h"

#include <string>

namespace banyanknot::coordination {
namespace {

/// Share of the servers heard of lately that can't be reached. One lost domain
/// of three makes up half of what the others see.
constexpr double kCutOffShare = 0.75;
/// Fewer tell of single servers, not of the host.
constexpr std::size_t kLeastUnreached = 3;
/// What is older says nothing of the present; the balancer asks each second.
constexpr state::Duration kLately = state::Milliseconds(1'200);

}  // namespace

ReachReadiness::ReachReadiness(const Clock& clock, const RouteDirectory& routes,
                               const ServerDirectory& servers, EventLog& log)
    : clock(clock), routes(routes), servers(servers), log(log) {}

bool ReachReadiness::IsCutOff() const {
  const ReachCount reach =
      this->servers.CountReach(this->clock.Now() - kLately);
  const std::size_t heard_of = reach.replied + reach.unreached;
  const bool is_cut_off = reach.unreached >= kLeastUnreached &&
                          static_cast<double>(reach.unreached) >=
                              kCutOffShare * static_cast<double>(heard_of);
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (is_cut_off != this->was_cut_off) {
    this->was_cut_off = is_cut_off;
    this->log.Write(
        is_cut_off ? EventCode::kReachLost : EventCode::kReachRegained,
        {{"replied", std::to_string(reach.replied)},
         {"unreached", std::to_string(reach.unreached)}});
  }
  return is_cut_off;
}

bool ReachReadiness::IsReady() const {
  return this->routes.Current() != nullptr && !this->servers.IsEmpty() &&
         !this->IsCutOff();
}

}  // namespace banyanknot::coordination
