#ifndef BANYANKNOT_COORDINATION_LOG_SEVERITY_H_
#define BANYANKNOT_COORDINATION_LOG_SEVERITY_H_

#include <array>
#include <string_view>

#include "banyanknot/state/enum_names.h"

namespace banyanknot::coordination {

/// \brief How much an event matters to those on call.
enum class LogSeverity {
  kInfo,     ///< an ordinary change
  kWarning,  ///< a fault that was borne
  kError,    ///< a fault that needs a person
};

/// \brief Names of LogSeverity, as they stand in messages and logs.
inline constexpr std::array<state::EnumName<LogSeverity>, 3> kLogSeverityNames{{
    {LogSeverity::kInfo, "info"},
    {LogSeverity::kWarning, "warning"},
    {LogSeverity::kError, "error"},
}};

/// \brief Returns the name of a LogSeverity.
constexpr std::string_view NameOf(LogSeverity value) {
  return state::FindName(kLogSeverityNames, value);
}

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_LOG_SEVERITY_H_
