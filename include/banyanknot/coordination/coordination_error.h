#ifndef BANYANKNOT_COORDINATION_COORDINATION_ERROR_H_
#define BANYANKNOT_COORDINATION_COORDINATION_ERROR_H_

#include <array>
#include <string_view>

#include "banyanknot/state/enum_names.h"

namespace banyanknot::coordination {

/// \brief Errors of the coordination layer.
enum class CoordinationError {
  kUnavailable,  ///< the remote side is unreachable
  kMalformed,    ///< the remote side's message is malformed
  kRejected,     ///< the remote side refused
  kTimeout,      ///< no reply before the timeout
  kStopping,     ///< this host is shutting down
};

/// \brief Names of CoordinationError as written in messages and logs.
inline constexpr std::array<state::EnumName<CoordinationError>, 5>
    kCoordinationErrorNames{{
        {CoordinationError::kUnavailable, "unavailable"},
        {CoordinationError::kMalformed, "malformed"},
        {CoordinationError::kRejected, "rejected"},
        {CoordinationError::kTimeout, "timeout"},
        {CoordinationError::kStopping, "stopping"},
    }};

/// \brief Returns the name of a CoordinationError.
constexpr std::string_view NameOf(CoordinationError value) {
  return state::FindName(kCoordinationErrorNames, value);
}

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_COORDINATION_ERROR_H_
