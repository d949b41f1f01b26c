#include "banyanknot/coordination/catalogue_follower.h"

namespace banyanknot::coordination {
namespace {

constexpr state::Duration kWatchWait = state::Milliseconds(20'000);
constexpr state::Duration kRetryDelay = state::Milliseconds(500);

}  // namespace

CatalogueFollower::CatalogueFollower(const Clock& clock, TimerService& timers,
                                     ConfigurationSource& source,
                                     CatalogueKeeper& keeper)
    : clock(clock), timers(timers), source(source), keeper(keeper) {}

void CatalogueFollower::Start() {
  this->source.Read(
      0, [this](const RawUpdateResult& result) { this->OnUpdate(result); });
}

void CatalogueFollower::WatchNext() {
  this->source.Watch(
      this->revision, kWatchWait,
      [this](const RawUpdateResult& result) { this->OnUpdate(result); });
}

void CatalogueFollower::OnUpdate(const RawUpdateResult& result) {
  if (!state::IsOk(result)) {
    this->timers.RunAt(this->clock.Now() + kRetryDelay,
                       [this] { this->WatchNext(); });
    return;
  }
  const RawUpdate& update = state::ValueOf(result);
  this->keeper.Apply(update.entries, "platform");
  if (update.revision > this->revision) this->revision = update.revision;
  this->has_read = true;
  this->WatchNext();
}

}  // namespace banyanknot::coordination
