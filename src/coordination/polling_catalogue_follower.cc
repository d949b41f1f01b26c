#include "banyanknot/coordination/polling_catalogue_follower.h"

namespace banyanknot::coordination {
namespace {

constexpr state::Duration kWatchTimeout = state::Milliseconds(20'000);
constexpr state::Duration kRetryDelay = state::Milliseconds(500);

}  // namespace

PollingCatalogueFollower::PollingCatalogueFollower(const Clock& clock,
                                                   TimerService& timers,
                                                   ConfigurationSource& source,
                                                   CatalogueSink& sink)
    : clock(clock), timers(timers), source(source), sink(sink) {}

void PollingCatalogueFollower::Start() {
  this->source.Read(
      0, [this](const RawUpdateResult& result) { this->OnUpdate(result); });
}

void PollingCatalogueFollower::WatchNext() {
  this->source.Watch(
      this->revision, kWatchTimeout,
      [this](const RawUpdateResult& result) { this->OnUpdate(result); });
}

void PollingCatalogueFollower::OnUpdate(const RawUpdateResult& result) {
  if (!state::IsOk(result)) {
    this->timers.RunAt(this->clock.Now() + kRetryDelay,
                       [this] { this->WatchNext(); });
    return;
  }
  const RawUpdate& update = state::ValueOf(result);
  this->sink.Apply(update.entries, "platform");
  if (update.revision > this->revision) this->revision = update.revision;
  this->has_synced = true;
  this->WatchNext();
}

}  // namespace banyanknot::coordination
