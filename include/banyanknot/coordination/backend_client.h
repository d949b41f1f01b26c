#ifndef BANYANKNOT_COORDINATION_BACKEND_CLIENT_H_
#define BANYANKNOT_COORDINATION_BACKEND_CLIENT_H_

#include <functional>

#include "banyanknot/coordination/backend_failure.h"
#include "banyanknot/state/result.h"
#include "banyanknot/state/sub_request.h"

namespace banyanknot::coordination {

/// \brief A reply, or the reason there is none.
using BackendResult = state::Result<state::SubReply, BackendFailure>;
using BackendHandler = std::function<void(BackendResult)>;

/// \brief Tells whether a failure proves that the sub-request did not run.
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

  /// \brief Sends one sub-request, without retries.
  ///
  /// \param handler called exactly once, on any thread, never inside Send(),
  ///     no later than shortly after `request.deadline`
  virtual void Send(const state::SubRequest& request,
                    BackendHandler handler) = 0;

  /// \brief Requests cancellation of a sub-request at its server.
  ///
  /// No effect if it has completed. Its handler is still called exactly once.
  virtual void Cancel(const state::SubRequest& request) = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_BACKEND_CLIENT_H_
