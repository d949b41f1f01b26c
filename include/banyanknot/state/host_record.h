#ifndef BANYANKNOT_STATE_HOST_RECORD_H_
#define BANYANKNOT_STATE_HOST_RECORD_H_

#include <cstdint>

#include "banyanknot/state/endpoint.h"
#include "banyanknot/state/host_state.h"
#include "banyanknot/state/identifier.h"
#include "banyanknot/state/sharded_table.h"
#include "banyanknot/state/util/time.h"

namespace banyanknot::state {

/// \brief An entry host, as the platform's list names it.
struct ListedHost {
  HostId id;
  FailureDomainId domain;
  Endpoint peer;    ///< where other hosts reach it
  Endpoint caller;  ///< where callers reach it
  bool leaving = false;
};

/// \brief Who this host is, for this run of its process.
struct HostIdentity {
  ListedHost self;
  std::uint64_t incarnation = 0;  ///< greater for each start of the host
};

/// \brief What this host knows of another one.
struct HostRecord {
  ListedHost listed;
  std::uint64_t incarnation = 0;  ///< greater for each start of the host
  std::uint32_t refutation = 0;   ///< raised by the host when it is suspected
  HostState host_state = HostState::kSuspect;
  TimePoint changed_at;             ///< when host_state last changed
  bool is_listed = false;           ///< stands in the platform's latest list
  bool was_listed_leaving = false;  ///< that list called it leaving
};

/// \brief The hosts that this host knows of, itself not among them.
using HostTable = ShardedTable<HostId, HostRecord>;

}  // namespace banyanknot::state

#endif  // BANYANKNOT_STATE_HOST_RECORD_H_
