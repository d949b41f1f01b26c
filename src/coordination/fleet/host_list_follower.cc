#include "banyanknot/coordination/fleet/host_list_follower.h"

namespace banyanknot::coordination {
namespace {

constexpr state::Duration kStartSpread = state::Milliseconds(1'000);
constexpr state::Duration kReadLow = state::Milliseconds(30'000);
constexpr state::Duration kReadHigh = state::Milliseconds(60'000);
constexpr state::Duration kRetryLow = state::Milliseconds(10'000);
constexpr state::Duration kRetryHigh = state::Milliseconds(30'000);

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
  this->ReadIn(state::Duration(0), kStartSpread);
}

void HostListFollower::ReadIn(state::Duration low, state::Duration high) {
  const std::uint64_t span =
      static_cast<std::uint64_t>(state::ToMilliseconds(high - low));
  const state::Duration delay =
      low + state::Milliseconds(
                static_cast<std::int64_t>(this->random.Below(span + 1)));
  this->timers.RunAt(this->clock.Now() + delay, [this] {
    this->source.ReadHosts(
        [this](const HostListResult& result) { this->OnList(result); });
  });
}

void HostListFollower::OnList(const HostListResult& result) {
  if (state::IsOk(result)) {
    this->registry.ApplyList(state::ValueOf(result));
    this->ReadIn(kReadLow, kReadHigh);
  } else {
    this->ReadIn(kRetryLow, kRetryHigh);
  }
}

}  // namespace banyanknot::coordination
