#include "banyanknot/coordination/quota/asker_census.h"

#include <algorithm>

namespace banyanknot::coordination {
namespace {

/// More hosts of one failure domain are not kept apart.
constexpr std::size_t kMaxHosts = 4'096;

}  // namespace

void AskerCensus::Begin(state::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->started_at = now;
}

void AskerCensus::Record(const state::HostId& host, KnownHosts known,
                         state::TimePoint now) {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    for (auto entry = this->asked_at.begin(); entry != this->asked_at.end();) {
      entry = now - entry->second > kMemory ? this->asked_at.erase(entry)
                                            : std::next(entry);
    }
    if (host != this->own &&
        (this->asked_at.size() < kMaxHosts || this->asked_at.count(host) > 0)) {
      this->asked_at[host] = now;
    }
  }
  this->Learn(known, now);
}

void AskerCensus::Learn(KnownHosts known, state::TimePoint now) {
  const std::size_t count = std::min(known.count, kMaxHosts);
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->is_told = this->is_told || known.is_settled;
  if (count >= this->claimed || now - this->claimed_at > kMemory) {
    this->claimed = count;
    this->claimed_at = now;
  }
}

bool AskerCensus::IsLearningLocked(state::TimePoint now) const {
  if (this->is_told) return false;
  return now - this->started_at <
         (this->asked_at.empty() ? kLonelyTime : kLearningTime);
}

std::size_t AskerCensus::CountLocked(state::TimePoint now) const {
  const std::size_t asked = this->asked_at.size() + 1;
  return now - this->claimed_at <= kMemory ? std::max(asked, this->claimed)
                                           : asked;
}

KnownHosts AskerCensus::Known(state::TimePoint now) const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return {this->CountLocked(now), !this->IsLearningLocked(now)};
}

double AskerCensus::Fraction(state::TimePoint now) const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const std::ptrdiff_t asking =
      1 + std::count_if(this->asked_at.begin(), this->asked_at.end(),
                        [now](const auto& entry) {
                          return now - entry.second <= kAskerLifetime;
                        });
  std::size_t known = this->CountLocked(now);
  if (this->IsLearningLocked(now)) known = std::max(known, kAssumedHosts);
  return static_cast<double>(asking) / static_cast<double>(known);
}

}  // namespace banyanknot::coordination
