#ifndef BANYANKNOT_COORDINATION_ROUTING_SERVER_NOTICE_H_
#define BANYANKNOT_COORDINATION_ROUTING_SERVER_NOTICE_H_

#include "banyanknot/state/util/time.h"

namespace banyanknot::coordination {

/// \brief What a server says of itself in a reply of any kind.
struct ServerNotice {
  bool is_leaving = false;      ///< wants no new requests
  state::Duration back_off{0};  ///< wants no requests for this long
};

/// \brief Receives the notices of one incarnation of a server.
///
/// Notices don't depend on what becomes of the reply: one that lost a hedge
/// race or came after its request was answered counts like any other.
/// Thread-safe.
class ServerNoticeSink {
 public:
  virtual ~ServerNoticeSink() = default;
  virtual void OnNotice(const ServerNotice& notice, state::TimePoint now) = 0;
  /// \brief Returns true if a request may still be written to the server.
  virtual bool AcceptsRequests(state::TimePoint now) const = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_SERVER_NOTICE_H_
