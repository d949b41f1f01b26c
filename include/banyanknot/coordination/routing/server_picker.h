#ifndef BANYANKNOT_COORDINATION_ROUTING_SERVER_PICKER_H_
#define BANYANKNOT_COORDINATION_ROUTING_SERVER_PICKER_H_

#include <optional>
#include <vector>

#include "banyanknot/coordination/routing/tracked_server.h"

namespace banyanknot::coordination {

/// \brief Chooses the server for a request. Thread-safe.
class ServerPicker {
 public:
  virtual ~ServerPicker() = default;

  /// \brief Reserves capacity for one request at the best server of a service.
  /// \param tried servers to leave out
  /// \returns null if no server is usable and has capacity
  virtual TrackedServerPtr Pick(const state::ServiceId& service,
                                const std::vector<state::InstanceId>& tried,
                                state::TimePoint now) = 0;

  /// \brief Returns true if a server may get requests, whether or not it has
  /// capacity now.
  virtual bool HasUsableServer(const state::ServiceId& service,
                               const std::vector<state::InstanceId>& tried,
                               state::TimePoint now) const = 0;

  /// \brief Returns when the first of the servers that asked for a back-off
  /// accepts requests again; nothing if none is eligible then.
  virtual std::optional<state::TimePoint> BackOffEnd(
      const state::ServiceId& service,
      const std::vector<state::InstanceId>& tried,
      state::TimePoint now) const = 0;

  /// \brief Returns true if Pick() would find a server.
  virtual bool HasCapacity(const state::ServiceId& service,
                           const std::vector<state::InstanceId>& tried,
                           state::TimePoint now) const = 0;

  /// \brief Returns the typical reply time of the fastest server of a service;
  /// zero if none is usable.
  virtual state::Duration TypicalReplyTime(const state::ServiceId& service,
                                           state::TimePoint now) const = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_SERVER_PICKER_H_
