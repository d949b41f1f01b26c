#ifndef BANYANKNOT_COORDINATION_DELEGATION_DELEGATION_FAILURE_H_
#define BANYANKNOT_COORDINATION_DELEGATION_DELEGATION_FAILURE_H_

#include <array>
#include <string_view>

#include "banyanknot/state/enum_names.h"

namespace banyanknot::coordination {

/// \brief Why another host gave no answer to a delegated request.
enum class DelegationFailure {
  kDeclined,     ///< it replied that it has not started the request
  kUnreachable,  ///< no byte was written
  kLost,         ///< the connection broke; it may have started the request
  kTimeout,      ///< no answer in time; it may have started the request
};

/// \brief Names of DelegationFailure in logs.
inline constexpr std::array<state::EnumName<DelegationFailure>, 4>
    kDelegationFailureNames{{
        {DelegationFailure::kDeclined, "declined"},
        {DelegationFailure::kUnreachable, "unreachable"},
        {DelegationFailure::kLost, "lost"},
        {DelegationFailure::kTimeout, "timeout"},
    }};

/// \brief Returns the name of a DelegationFailure.
constexpr std::string_view NameOf(DelegationFailure value) {
  return state::FindName(kDelegationFailureNames, value);
}

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_DELEGATION_DELEGATION_FAILURE_H_
