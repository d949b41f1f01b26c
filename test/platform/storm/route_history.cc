#include "platform/storm/route_history.h"

#include <algorithm>

namespace banyanknot::platform::edge_testing {

void RouteHistory::Add(std::uint64_t version, const RoutesByPrefix& routes) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto record = [this, version](const std::string& prefix,
                                      const std::string& service) {
    this->changes[prefix].push_back({version, service});
    this->changed_prefixes.push_back(prefix);
  };
  for (const auto& [prefix, service] : this->newest) {
    if (routes.count(prefix) == 0) record(prefix, kNoRoute);
  }
  for (const auto& [prefix, service] : routes) {
    const auto known = this->newest.find(prefix);
    if (known == this->newest.end() || known->second != service) {
      record(prefix, service);
    }
  }
  this->newest = routes;
  this->newest_version = version;
}

void RouteHistory::Acknowledge(TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->acknowledged.emplace_back(now, this->newest_version);
}

std::uint64_t RouteHistory::NewestBy(TimePoint time) const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  for (auto entry = this->acknowledged.rbegin();
       entry != this->acknowledged.rend(); ++entry) {
    if (entry->first <= time) return entry->second;
  }
  return 0;
}

std::uint64_t RouteHistory::FirstFrom(std::uint64_t from,
                                      const std::string& prefix,
                                      const std::string& service) const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  Change current{1, kNoRoute};
  const auto found = this->changes.find(prefix);
  if (found != this->changes.end()) {
    for (const Change& change : found->second) {
      // The state before this change lasted beyond `from`.
      if (change.version > from && current.service == service) {
        return std::max(from, current.version);
      }
      current = change;
    }
  }
  return current.service == service ? std::max(from, current.version) : 0;
}

std::string RouteHistory::RecentPrefix(std::uint64_t draw,
                                       std::size_t count) const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (this->changed_prefixes.empty()) return "/none/";
  const std::size_t range = std::min(count, this->changed_prefixes.size());
  return this
      ->changed_prefixes[this->changed_prefixes.size() - 1 - draw % range];
}

std::string RouteHistory::Describe(const std::string& prefix) const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  constexpr std::size_t kShown = 6;
  std::string text;
  const auto found = this->changes.find(prefix);
  if (found == this->changes.end()) return text;
  const std::size_t first =
      found->second.size() > kShown ? found->second.size() - kShown : 0;
  for (std::size_t index = first; index < found->second.size(); ++index) {
    text += " " + std::to_string(found->second[index].version) + ":" +
            found->second[index].service;
  }
  return text;
}

}  // namespace banyanknot::platform::edge_testing
