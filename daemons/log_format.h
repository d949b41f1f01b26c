#ifndef BANYANKNOT_DAEMONS_LOG_FORMAT_H_
#define BANYANKNOT_DAEMONS_LOG_FORMAT_H_

#include <array>
#include <string_view>

#include "banyanknot/state/enum_names.h"

namespace banyanknot::daemons {

/// \brief How a host writes its log.
enum class LogFormat {
  kText,  ///< for people
  kJson,  ///< one JSON object a line
};

/// \brief Names of LogFormat, as they stand in messages and logs.
inline constexpr std::array<state::EnumName<LogFormat>, 2> kLogFormatNames{{
    {LogFormat::kText, "text"},
    {LogFormat::kJson, "json"},
}};

/// \brief Returns the name of a LogFormat.
constexpr std::string_view NameOf(LogFormat value) {
  return state::FindName(kLogFormatNames, value);
}

}  // namespace banyanknot::daemons

#endif  // BANYANKNOT_DAEMONS_LOG_FORMAT_H_
