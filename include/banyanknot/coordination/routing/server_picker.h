#ifndef BANYANKNOT_COORDINATION_ROUTING_SERVER_PICKER_H_
#define BANYANKNOT_COORDINATION_ROUTING_SERVER_PICKER_H_

#include <vector>

#include "banyanknot/coordination/routing/tracked_server.h"

namespace banyanknot::coordination {

/// \brief Chooses the server that a request goes to.
class ServerPicker {
 public:
  virtual ~ServerPicker() = default;

  /// \brief Reserves room for one request at the best server of a service.
  /// \param tried servers that are left out
  /// \returns null if none may get a request now
  virtual TrackedServerPtr Pick(const state::ServiceId& service,
                                const std::vector<state::InstanceId>& tried,
                                state::TimePoint now) = 0;

  /// \brief Tells whether some server may get a request now or soon.
  virtual bool HasUsableServer(const state::ServiceId& service,
                               const std::vector<state::InstanceId>& tried,
                               state::TimePoint now) const = 0;

  /// \brief Tells whether Pick() would find a server.
  virtual bool HasCapacity(const state::ServiceId& service,
                           const std::vector<state::InstanceId>& tried,
                           state::TimePoint now) const = 0;

  /// \brief Time that the quickest server of a service usually takes.
  virtual state::Duration TypicalReplyTime(const state::ServiceId& service,
                                           state::TimePoint now) const = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_SERVER_PICKER_H_
