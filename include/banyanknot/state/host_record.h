#ifndef BANYANKNOT_STATE_HOST_RECORD_H_
#define BANYANKNOT_STATE_HOST_RECORD_H_

#include <cstdint>

#include "banyanknot/state/endpoint.h"
#include "banyanknot/state/host_state.h"
#include "banyanknot/state/identifier.h"
#include "banyanknot/state/sharded_table.h"
#include "banyanknot/state/util/time.h"

namespace banyanknot::state {

/// \brief A host as listed by the platform.
struct ListedHost {
  HostId id;
  FailureDomainId domain;
  Endpoint peer;    ///< endpoint for other hosts
  Endpoint caller;  ///< endpoint for callers
  bool leaving = false;
};

/// \brief Identity of this host for one run of its process.
struct HostIdentity {
  ListedHost self;
  std::uint64_t incarnation = 0;  ///< increases with each start of the host
};

/// \brief This host's record of another host.
struct HostRecord {
  ListedHost listed;
  std::uint64_t incarnation = 0;  ///< increases with each start of the host
  std::uint32_t refutation = 0;   ///< incremented by the host when suspected
  HostState host_state = HostState::kSuspect;
  TimePoint changed_at;             ///< when host_state last changed
  bool is_listed = false;           ///< is in the platform's latest list
  bool was_listed_leaving = false;  ///< that list marks it as leaving
};

/// \brief All hosts known to this host, except itself.
using HostTable = ShardedTable<HostId, HostRecord>;

}  // namespace banyanknot::state

#endif  // BANYANKNOT_STATE_HOST_RECORD_H_
