#ifndef BANYANKNOT_STATE_ROUTING_RELAY_REQUEST_H_
#define BANYANKNOT_STATE_ROUTING_RELAY_REQUEST_H_

#include <optional>
#include <string>
#include <vector>

#include "banyanknot/state/routing/header_field.h"
#include "banyanknot/state/routing/workspace.h"
#include "banyanknot/state/util/time.h"

namespace banyanknot::state {

/// \brief A caller's request, forwarded to backend servers unchanged.
struct RelayRequest {
  std::string id;  ///< the caller's id of this attempt
  std::string method;
  std::string host;
  std::string target;                ///< path and query, as sent
  std::vector<HeaderField> headers;  ///< those to forward
  std::string body;
  Duration deadline{0};  ///< caller's time limit, from `received_at`
  TimePoint received_at;
  /// Time of the request that passes outside this host, between the caller's
  /// start and `received_at` and on the answer's way back; nothing if unknown.
  std::optional<Duration> outside_time;
  /// Headers that name the caller; forwarded only without workspaces.
  std::vector<HeaderField> identity_headers;
  std::optional<KeyDigest> key;  ///< of the caller's workspace, if it sent one
  WorkspaceId workspace;         ///< that the key belongs to; empty until known
  /// Priority of the workspace, which replaces that of the route.
  std::optional<unsigned> priority;
};

}  // namespace banyanknot::state

#endif  // BANYANKNOT_STATE_ROUTING_RELAY_REQUEST_H_
