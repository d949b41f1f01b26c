#include "banyanknot/coordination/fleet/sparse_catalogue_follower.h"

#include <algorithm>
#include <cstddef>
#include <string>
#include <vector>

#include "banyanknot/coordination/fleet/rendezvous.h"

namespace banyanknot::coordination {
namespace {

constexpr std::size_t kWatchersPerDomain = 2;
constexpr state::Duration kMaxStartDelay = state::Milliseconds(1'000);
constexpr state::Duration kTickInterval = state::Milliseconds(500);
constexpr state::Duration kWatchTimeout = state::Milliseconds(20'000);
constexpr state::Duration kIdleWatchInterval = state::Milliseconds(1'000);
constexpr state::Duration kMinReadInterval = state::Milliseconds(60'000);
constexpr state::Duration kMaxReadInterval = state::Milliseconds(120'000);
constexpr state::Duration kMinBackoff = state::Milliseconds(200);
constexpr state::Duration kMaxBackoff = state::Milliseconds(8'000);
constexpr state::Duration kRefreshInterval = state::Milliseconds(1'000);
constexpr int kBackoffGrowth = 3;
constexpr char kPlatform[] = "platform";
constexpr char kWatchSubject[] = "catalogue-watch";

}  // namespace

SparseCatalogueFollower::SparseCatalogueFollower(
    const Clock& clock, TimerService& timers, RandomSource& random,
    ConfigurationSource& source, CatalogueSink& intake,
    const state::CatalogueTable& table, const MembershipView& view,
    ContactLog& contacts)
    : clock(clock),
      timers(timers),
      random(random),
      source(source),
      intake(intake),
      table(table),
      view(view),
      contacts(contacts) {}

state::Duration SparseCatalogueFollower::RandomBetween(state::Duration low,
                                                       state::Duration high) {
  const std::uint64_t span =
      static_cast<std::uint64_t>(state::ToMilliseconds(high - low));
  return low + state::Milliseconds(
                   static_cast<std::int64_t>(this->random.Below(span + 1)));
}

void SparseCatalogueFollower::Start() {
  const state::TimePoint first =
      this->clock.Now() +
      this->RandomBetween(state::Duration(0), kMaxStartDelay);
  this->timers.RunAt(first, [this] {
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      const bool has_catalogue = this->table.MaxRevision() > 0;
      this->next_read_at =
          this->clock.Now() +
          (has_catalogue
               ? this->RandomBetween(kMinReadInterval, kMaxReadInterval)
               : state::Duration(0));
    }
    this->Tick();
  });
}

bool SparseCatalogueFollower::IsWatcher() const {
  const state::ListedHost& self = this->view.Self().self;
  const std::vector<state::HostId> hosts =
      this->view.ActiveHostsIn(self.domain);
  return RendezvousRank(kWatchSubject, self.id, hosts) < kWatchersPerDomain;
}

void SparseCatalogueFollower::ScheduleTick() {
  this->timers.RunAt(
      this->clock.Now() + this->RandomBetween(kTickInterval / 2, kTickInterval),
      [this] { this->Tick(); });
}

void SparseCatalogueFollower::Tick() {
  const state::TimePoint now = this->clock.Now();
  if (this->IsWatcher()) {
    if (this->TryBeginWatch(now)) this->StartWatch();
  } else if (this->TryBeginRead(now)) {
    this->StartRead();
  }
  this->ScheduleTick();
}

bool SparseCatalogueFollower::TryBeginWatch(state::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (this->is_watching || now < this->next_watch_at) return false;
  this->is_watching = true;
  return true;
}

bool SparseCatalogueFollower::TryBeginRead(state::TimePoint now) {
  const state::Duration interval =
      this->RandomBetween(kMinReadInterval, kMaxReadInterval);
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (this->is_watching || now < this->next_read_at) return false;
  this->next_read_at = now + interval;
  return true;
}

std::uint64_t SparseCatalogueFollower::Cursor() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->cursor;
}

void SparseCatalogueFollower::StartWatch() {
  const state::TimePoint asked_at = this->clock.Now();
  this->source.Watch(this->Cursor(),
                     this->has_read ? kWatchTimeout : state::Duration(0),
                     [this, asked_at](const RawUpdateResult& result) {
                       this->OnWatched(asked_at, result);
                     });
}

void SparseCatalogueFollower::OnWatched(state::TimePoint asked_at,
                                        const RawUpdateResult& result) {
  const bool has_changes = this->ApplyResult(asked_at, result);
  this->ScheduleNextWatch(asked_at, state::IsOk(result), has_changes);
  if (has_changes && this->IsWatcher() &&
      this->TryBeginWatch(this->clock.Now())) {
    this->StartWatch();
  }
}

void SparseCatalogueFollower::ScheduleNextWatch(state::TimePoint asked_at,
                                                bool is_ok, bool has_changes) {
  const state::TimePoint now = this->clock.Now();
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->is_watching = false;
  if (!is_ok) {
    const state::Duration high = std::min(
        kMaxBackoff, std::max(kMinBackoff, this->backoff) * kBackoffGrowth);
    this->backoff = this->RandomBetween(kMinBackoff, high);
    this->next_watch_at = now + this->backoff;
    return;
  }
  this->backoff = state::Duration(0);
  this->next_watch_at = has_changes ? now : asked_at + kIdleWatchInterval;
}

void SparseCatalogueFollower::StartRead() {
  const state::TimePoint asked_at = this->clock.Now();
  // Peers may have told of newer changes and not of older ones.
  this->source.Read(this->Cursor(),
                    [this, asked_at](const RawUpdateResult& result) {
                      this->ApplyResult(asked_at, result);
                    });
}

bool SparseCatalogueFollower::ApplyResult(state::TimePoint asked_at,
                                          const RawUpdateResult& result) {
  if (!state::IsOk(result)) return false;
  const RawUpdate& update = state::ValueOf(result);
  const bool has_changes =
      !this->intake.Apply(update.entries, kPlatform).empty();
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->cursor = std::max(this->cursor, update.revision);
  }
  this->has_read = true;
  if (update.revision >= this->table.MaxRevision()) {
    this->contacts.RecordPlatform(asked_at);
  }
  return has_changes;
}

void SparseCatalogueFollower::Refresh() {
  const state::Duration::rep now = this->clock.Now().time_since_epoch().count();
  state::Duration::rep last = this->refreshed_at.load();
  if (last != 0 && now - last < kRefreshInterval.count()) return;
  if (!this->refreshed_at.compare_exchange_strong(last, now)) return;
  this->StartRead();
}

}  // namespace banyanknot::coordination
