#ifndef BANYANKNOT_COORDINATION_BACKEND_FAILURE_H_
#define BANYANKNOT_COORDINATION_BACKEND_FAILURE_H_

#include <array>
#include <string_view>

#include "banyanknot/state/enum_names.h"

namespace banyanknot::coordination {

/// \brief Why a sub-request has no reply.
enum class BackendFailure {
  kNotSent,  ///< no byte was written: the connection failed or was refused
  kConnectionLimit,  ///< no byte was written: connection limit reached
  kExpired,          ///< no byte was written: its send time had passed
  kLost,             ///< the connection failed after the first byte was written
  kTimeout,          ///< written; no reply by the deadline
  kBadReply,         ///< the reply is malformed or does not match
  kCancelled,        ///< cancelled by this host after it was written
};

/// \brief Names of BackendFailure, as they stand in messages and logs.
inline constexpr std::array<state::EnumName<BackendFailure>, 7>
    kBackendFailureNames{{
        {BackendFailure::kNotSent, "not_sent"},
        {BackendFailure::kConnectionLimit, "connection_limit"},
        {BackendFailure::kExpired, "expired"},
        {BackendFailure::kLost, "lost"},
        {BackendFailure::kTimeout, "timeout"},
        {BackendFailure::kBadReply, "bad_reply"},
        {BackendFailure::kCancelled, "cancelled"},
    }};

/// \brief Returns the name of a BackendFailure.
constexpr std::string_view NameOf(BackendFailure value) {
  return state::FindName(kBackendFailureNames, value);
}

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_BACKEND_FAILURE_H_
