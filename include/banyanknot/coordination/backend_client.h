#ifndef BANYANKNOT_COORDINATION_BACKEND_CLIENT_H_
#define BANYANKNOT_COORDINATION_BACKEND_CLIENT_H_

#include <functional>

#include "banyanknot/coordination/backend_failure.h"
#include "banyanknot/state/result.h"
#include "banyanknot/state/sub_request.h"

namespace banyanknot::coordination {

/// \brief A reply, or why there is none.
using BackendResult = state::Result<state::SubReply, BackendFailure>;
using BackendHandler = std::function<void(BackendResult)>;

/// \brief Tells whether a failure proves that no server ran the sub-request.
constexpr bool IsProvenNotRun(BackendFailure failure) {
  return failure == BackendFailure::kNotSent ||
         failure == BackendFailure::kConnectionLimit ||
         failure == BackendFailure::kExpired;
}

/// \brief Sends sub-requests to backend servers.
///
/// Thread-safe. Implemented by the transport layer.
class BackendClient {
 public:
  virtual ~BackendClient() = default;

  /// \brief Sends one sub-request; never tries a second time by itself.
  ///
  /// \param handler called exactly once, on any thread, never inside Send(),
  ///     at the latest soon after `request.deadline`
  virtual void Send(const state::SubRequest& request,
                    BackendHandler handler) = 0;

  /// \brief Asks the server to stop working on a sub-request.
  ///
  /// Without effect if it is done. Its handler is still called once.
  virtual void Cancel(const state::SubRequest& request) = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_BACKEND_CLIENT_H_
