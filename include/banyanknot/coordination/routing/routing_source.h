#ifndef BANYANKNOT_COORDINATION_ROUTING_ROUTING_SOURCE_H_
#define BANYANKNOT_COORDINATION_ROUTING_ROUTING_SOURCE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "banyanknot/coordination/routing/source_failure.h"
#include "banyanknot/state/result.h"
#include "banyanknot/state/routing/registered_server.h"
#include "banyanknot/state/routing/route_table.h"
#include "banyanknot/state/routing/source_position.h"

namespace banyanknot::coordination {

/// \brief A failure domain that operators took out of service or put back.
struct DomainStateChange {
  state::FailureDomainId domain;
  bool is_out = false;
};

/// \brief A server that is no longer registered.
struct ServerRemoval {
  state::InstanceId id;
};

/// \brief An entry that could not be decoded.
struct UnreadableEntry {
  std::string key;
  std::string reason;
  /// Set if the key is that of a server, whose last readable entry holds.
  std::optional<state::InstanceId> server;
};

/// \brief One change published by operators or servers.
using RoutingChange =
    std::variant<state::RouteTablePtr, DomainStateChange,
                 state::RegisteredServer, ServerRemoval, UnreadableEntry>;

/// \brief A change as the source wrote it, to be decoded by a ChangeDecoder.
struct EncodedChange {
  std::string key;
  std::string text;
  bool is_removal = false;
  std::uint64_t revision = 0;  ///< in the era of its batch
};

/// \brief The changes up to a position, or a snapshot at it.
struct RoutingBatch {
  std::vector<RoutingChange> changes;
  state::SourcePosition position;
  std::vector<EncodedChange> encoded;  ///< the same, for other hosts
  bool is_passed_on = false;           ///< by another host, not the source
  bool is_stale = false;  ///< passed on by a host that has lost the source too
  /// At most since the source said so; 0 for a response that came in time.
  state::Duration age{0};
  /// Another host saw the source return just now; see RemovalMode.
  bool defers_removals = false;
};

/// \brief Decodes changes that another host passed on. Thread-safe.
class ChangeDecoder {
 public:
  virtual ~ChangeDecoder() = default;
  /// \returns nothing for a change that isn't relevant
  virtual std::optional<RoutingChange> Decode(
      const EncodedChange& change) const = 0;
};

using RoutingBatchResult = state::Result<RoutingBatch, SourceFailure>;
using RoutingBatchHandler = std::function<void(RoutingBatchResult)>;

/// \brief Checks the changes that a source returned for those after `after`.
/// \returns the changes; kEraChanged if they are of another era, in which
///     others may be missing between `after` and them
RoutingBatchResult RequireContinuation(const state::SourcePosition& after,
                                       RoutingBatch batch);

/// \brief Source of routes, servers and failure domains out of service.
///
/// Thread-safe. Handlers run on any thread, exactly once, never inside the
/// call.
class RoutingSource {
 public:
  virtual ~RoutingSource() = default;
  /// \brief Reads a complete snapshot; what is not in it does not exist.
  virtual void ReadAll(RoutingBatchHandler handler) = 0;
  /// \brief Waits up to `wait` for changes after the position `after`; fails
  /// with kEraChanged if the source is in another era.
  virtual void Watch(const state::SourcePosition& after, state::Duration wait,
                     RoutingBatchHandler handler) = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_ROUTING_SOURCE_H_
