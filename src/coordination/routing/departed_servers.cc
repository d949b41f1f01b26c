#include "banyanknot/coordination/routing/departed_servers.h"

namespace banyanknot::coordination {

void DepartedServers::Add(const state::RegisteredServer& server) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (!this->by_id.insert_or_assign(server.id, server).second) return;
  this->oldest_first.push_back(server.id);
  if (this->oldest_first.size() <= kMaxKept) return;
  this->by_id.erase(this->oldest_first.front());
  this->oldest_first.pop_front();
}

bool DepartedServers::Contains(const state::RegisteredServer& server) const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto found = this->by_id.find(server.id);
  return found != this->by_id.end() &&
         state::IsSameIncarnation(found->second, server);
}

}  // namespace banyanknot::coordination
