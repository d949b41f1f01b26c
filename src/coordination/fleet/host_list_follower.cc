#include "banyanknot/coordination/fleet/host_list_follower.h"

namespace banyanknot::coordination {
namespace {

constexpr state::Duration kMaxStartDelay = state::Milliseconds(1'000);
constexpr state::Duration kMinReadInterval = state::Milliseconds(30'000);
constexpr state::Duration kMaxReadInterval = state::Milliseconds(60'000);
constexpr state::Duration kMinRetryDelay = state::Milliseconds(10'000);
constexpr state::Duration kMaxRetryDelay = state::Milliseconds(30'000);

}  // namespace

HostListFollower::HostListFollower(const Clock& clock, TimerService& timers,
                                   RandomSource& random, HostListSource& source,
                                   HostRegistry& registry)
    : clock(clock),
      timers(timers),
      random(random),
      source(source),
      registry(registry) {}

void HostListFollower::Start() {
  this->ScheduleRead(state::Duration(0), kMaxStartDelay);
}

void HostListFollower::ScheduleRead(state::Duration min_delay,
                                    state::Duration max_delay) {
  const std::uint64_t span =
      static_cast<std::uint64_t>(state::ToMilliseconds(max_delay - min_delay));
  const state::Duration delay =
      min_delay + state::Milliseconds(
                      static_cast<std::int64_t>(this->random.Below(span + 1)));
  this->timers.RunAt(this->clock.Now() + delay, [this] {
    this->source.ReadHosts(
        [this](const HostListResult& result) { this->OnList(result); });
  });
}

void HostListFollower::OnList(const HostListResult& result) {
  if (state::IsOk(result)) {
    this->registry.ApplyList(state::ValueOf(result));
    this->ScheduleRead(kMinReadInterval, kMaxReadInterval);
  } else {
    this->ScheduleRead(kMinRetryDelay, kMaxRetryDelay);
  }
}

}  // namespace banyanknot::coordination
