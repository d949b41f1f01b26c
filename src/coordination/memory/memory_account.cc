#include "banyanknot/coordination/memory/memory_account.h"

#include <algorithm>
#include <vector>

namespace banyanknot::coordination {
namespace {

/// After a search that found nobody who could give way.
constexpr state::Duration kSearchPause = state::Milliseconds(5);

}  // namespace

MemoryHolderId MemoryAccount::Open(GiveWayHandler give_way) {
  Entry entry;
  entry.holder.id = this->next_id++;
  entry.holder.progressed_at = this->clock.Now();
  entry.give_way = std::move(give_way);
  const MemoryHolderId id = entry.holder.id;
  this->entries.Insert(id, std::move(entry));
  return id;
}

void MemoryAccount::Change(MemoryHolderId id, std::size_t bytes,
                           bool can_give_way) {
  const state::TimePoint now = this->clock.Now();
  this->entries.UpdateIfPresent(id, [&](Entry& entry) {
    if (entry.is_asked) {
      this->leaving += bytes;
      this->leaving -= entry.holder.bytes;
    }
    this->held += bytes;
    this->held -= entry.holder.bytes;
    entry.holder.bytes = bytes;
    entry.holder.progressed_at = now;
    entry.holder.can_give_way = can_give_way;
  });
  std::size_t highest = this->peak;
  const std::size_t current = this->held;
  while (current > highest &&
         !this->peak.compare_exchange_weak(highest, current)) {
  }
}

bool MemoryAccount::TryHold(MemoryHolderId id, std::size_t bytes,
                            bool can_give_way) {
  std::size_t before = 0;
  this->entries.ReadIfPresent(
      id, [&before](const Entry& entry) { before = entry.holder.bytes; });
  if (bytes > before && !this->HasRoomFor(id, bytes - before, bytes)) {
    ++this->refusals;
    return false;
  }
  this->Change(id, bytes, can_give_way);
  return true;
}

// What others are about to release counts as free for a large holder, but all
// together exceed the limit by no more than what is being added at once.
bool MemoryAccount::HasRoomFor(MemoryHolderId id, std::size_t growth,
                               std::size_t bytes) {
  const bool is_small = bytes <= StalledFirstPolicy::kSmallBytes;
  const std::size_t before = this->held;
  if (before + growth > this->SoftLimit()) this->Reclaim(id);
  if (before + growth > this->max_bytes) return false;
  const std::size_t staying =
      before + growth - std::min<std::size_t>(before, this->leaving);
  return is_small || staying <= this->SoftLimit();
}

void MemoryAccount::Hold(MemoryHolderId id, std::size_t bytes,
                         bool can_give_way) {
  this->Change(id, bytes, can_give_way);
  if (this->held > this->SoftLimit()) this->Reclaim(id);
}

// Frees an eighth more than needed, so that the holders aren't searched again
// at the next byte.
void MemoryAccount::Reclaim(MemoryHolderId but) {
  const std::size_t goal = this->SoftLimit() - this->SoftLimit() / 8;
  const std::size_t staying =
      this->held - std::min<std::size_t>(this->held, this->leaving);
  if (staying <= goal) return;
  // While nobody can give way, the search would be repeated at each byte.
  const state::TimePoint now = this->clock.Now();
  if (now < this->next_search_at.load()) return;
  std::vector<MemoryHolder> holders;
  bool may_ask_later = false;  // the holder that is left out now
  this->entries.ForEach([&](MemoryHolderId /*id*/, const Entry& entry) {
    if (entry.is_asked) return;
    if (entry.holder.id == but) {
      may_ask_later = entry.holder.can_give_way;
    } else {
      holders.push_back(entry.holder);
    }
  });
  const std::vector<MemoryHolderId> chosen =
      this->policy.Choose(std::move(holders), staying - goal, now);
  if (chosen.empty() && !may_ask_later) {
    this->next_search_at = now + kSearchPause;
  }
  for (const MemoryHolderId id : chosen) {
    GiveWayHandler give_way;
    this->entries.UpdateIfPresent(id, [&](Entry& entry) {
      if (entry.is_asked) return;
      entry.is_asked = true;
      this->leaving += entry.holder.bytes;
      give_way = entry.give_way;
    });
    if (!give_way) continue;
    ++this->gave_way;
    give_way();
  }
}

void MemoryAccount::Close(MemoryHolderId id) {
  const std::optional<Entry> entry = this->entries.Take(id);
  if (!entry) return;
  if (entry->is_asked) this->leaving -= entry->holder.bytes;
  this->held -= entry->holder.bytes;
}

}  // namespace banyanknot::coordination
