#ifndef BANYANKNOT_STATE_ROUTING_WORKSPACE_H_
#define BANYANKNOT_STATE_ROUTING_WORKSPACE_H_

#include <memory>
#include <optional>
#include <vector>

#include "banyanknot/state/identifier.h"

namespace banyanknot::state {

/// \brief Limit on a workspace's requests, summed over all hosts.
///
/// A token bucket: `burst` requests at once, refilled at `rate`.
struct Quota {
  double rate = 0;  ///< requests per second; 0 for no limit
  double burst = 0;

  bool IsLimited() const { return this->rate > 0; }

  friend bool operator==(const Quota& left, const Quota& right) {
    return left.rate == right.rate && left.burst == right.burst;
  }
};

/// \brief The hash of a caller's key. Keys themselves are secrets, which are
/// neither kept nor logged nor sent to a server or host.
using KeyDigest = Identifier<struct KeyDigestTag>;

/// \brief A group of callers that share keys, a priority and a quota.
struct Workspace {
  WorkspaceId id;
  std::vector<KeyDigest> keys;
  std::optional<unsigned> priority;  ///< replaces that of the route
  Quota quota;
};

using WorkspacePtr = std::shared_ptr<const Workspace>;

}  // namespace banyanknot::state

#endif  // BANYANKNOT_STATE_ROUTING_WORKSPACE_H_
