#ifndef BANYANKNOT_COORDINATION_LOG_SEVERITY_H_
#define BANYANKNOT_COORDINATION_LOG_SEVERITY_H_

#include <array>
#include <string_view>

#include "banyanknot/state/enum_names.h"

namespace banyanknot::coordination {

/// \brief Severity of an event.
enum class LogSeverity {
  kInfo,     ///< an ordinary change
  kWarning,  ///< a fault that was handled
  kError,    ///< a fault that needs an operator
};

/// \brief Names of LogSeverity as written in messages and logs.
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
