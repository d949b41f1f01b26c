#ifndef BANYANKNOT_STATE_SERVICE_CLASS_H_
#define BANYANKNOT_STATE_SERVICE_CLASS_H_

#include <array>
#include <string_view>

#include "banyanknot/state/enum_names.h"

namespace banyanknot::state {

/// \brief What the callers of a service need most, highest priority first.
enum class ServiceClass {
  kWhole,  ///< whole answers only (nitrate alert, plan answers, allergens)
  kLatencyFirst,  ///< a timely answer first (balances at meal rush)
  kComparison,    ///< partial answers down to a minimum coverage
};

/// \brief Names of ServiceClass as written in messages and logs.
inline constexpr std::array<state::EnumName<ServiceClass>, 3>
    kServiceClassNames{{
        {ServiceClass::kWhole, "whole"},
        {ServiceClass::kLatencyFirst, "latency_first"},
        {ServiceClass::kComparison, "comparison"},
    }};

/// \brief Returns the name of a ServiceClass.
constexpr std::string_view NameOf(ServiceClass value) {
  return state::FindName(kServiceClassNames, value);
}

}  // namespace banyanknot::state

#endif  // BANYANKNOT_STATE_SERVICE_CLASS_H_
