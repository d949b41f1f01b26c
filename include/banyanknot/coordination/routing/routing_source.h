#ifndef BANYANKNOT_COORDINATION_ROUTING_ROUTING_SOURCE_H_
#define BANYANKNOT_COORDINATION_ROUTING_ROUTING_SOURCE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "banyanknot/coordination/routing/source_failure.h"
#include "banyanknot/state/result.h"
#include "banyanknot/state/routing/registered_server.h"
#include "banyanknot/state/routing/route_table.h"

namespace banyanknot::coordination {

/// \brief A failure domain that operators have taken out or put back.
struct DomainStateChange {
  state::FailureDomainId domain;
  bool is_out = false;
};

/// \brief A server that is not registered any more.
struct ServerRemoval {
  state::InstanceId id;
};

/// \brief An entry that can't be used.
struct UnreadableEntry {
  std::string key;
  std::string reason;
};

/// \brief One change of what operators and servers have published.
using RoutingChange =
    std::variant<state::RouteTablePtr, DomainStateChange,
                 state::RegisteredServer, ServerRemoval, UnreadableEntry>;

/// \brief Changes up to a revision, or all that there is at it.
struct RoutingBatch {
  std::vector<RoutingChange> changes;
  std::uint64_t revision = 0;
};

using RoutingBatchHandler =
    std::function<void(state::Result<RoutingBatch, SourceFailure>)>;

/// \brief Where routes, taken-out failure domains and servers are published.
///
/// Thread-safe. Handlers run on any thread, exactly once, never inside the
/// call.
class RoutingSource {
 public:
  virtual ~RoutingSource() = default;
  /// \brief Reads everything; what is not in the batch does not exist.
  virtual void ReadAll(RoutingBatchHandler handler) = 0;
  /// \brief Waits up to `wait` for changes after a revision.
  virtual void Watch(std::uint64_t after, state::Duration wait,
                     RoutingBatchHandler handler) = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_ROUTING_SOURCE_H_
