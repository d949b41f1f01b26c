#ifndef BANYANKNOT_COORDINATION_ROUTING_DEPARTED_SERVERS_H_
#define BANYANKNOT_COORDINATION_ROUTING_DEPARTED_SERVERS_H_

#include <cstddef>
#include <deque>
#include <mutex>
#include <unordered_map>

#include "banyanknot/state/routing/registered_server.h"

namespace banyanknot::coordination {

/// \brief Remembers incarnations that said they are leaving, after their
/// entries are gone.
///
/// An entry that expired may be written again by the same incarnation, whose
/// leaving is final. Keeps the newest kMaxKept. Thread-safe.
class DepartedServers {
 public:
  static constexpr std::size_t kMaxKept = 4'096;

  void Add(const state::RegisteredServer& server);
  bool Contains(const state::RegisteredServer& server) const;

 private:
  mutable std::mutex mutex;
  std::unordered_map<state::InstanceId, state::RegisteredServer> by_id;
  std::deque<state::InstanceId> oldest_first;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_DEPARTED_SERVERS_H_
