#ifndef BANYANKNOT_DAEMONS_LOG_FORMAT_H_
#define BANYANKNOT_DAEMONS_LOG_FORMAT_H_

#include <array>
#include <string_view>

#include "banyanknot/state/enum_names.h"

namespace banyanknot::daemons {

/// \brief Format of a host's log.
enum class LogFormat {
  kText,  ///< human-readable
  kJson,  ///< one JSON object per line
};

/// \brief Names of LogFormat in settings.
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
