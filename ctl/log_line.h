#ifndef BANYANKNOT_CTL_LOG_LINE_H_
#define BANYANKNOT_CTL_LOG_LINE_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "banyanknot/coordination/event_code.h"

namespace banyanknot::ctl {

/// \brief One line of a host's log, as `log_format` json writes it.
struct LogLine {
  std::string host;  ///< file name if no line of the file names a host
  std::string time;  ///< UTC, as logged
  std::int64_t unix_ms = 0;
  std::string name;               ///< event name
  nlohmann::ordered_json fields;  ///< all fields of the line

  /// \returns the value as text; empty if the line has no such field
  std::string Field(std::string_view field) const;
  bool Is(coordination::EventCode event) const;
};

/// \brief Parses one line. A prefix that a log collector adds before the JSON
/// object is skipped, but for its last word, which names the host.
/// \returns nothing if the line is truncated or is not a log line
std::optional<LogLine> ParseLogLine(const std::string& text);

/// \brief Formats a line for display: time, host, event and other fields.
std::string ToText(const LogLine& line);

/// \brief Parses a UTC timestamp such as 2026-12-04T09:30:00.250Z.
/// \returns milliseconds since the Unix epoch; nothing if malformed
std::optional<std::int64_t> ParseTime(const std::string& text);

}  // namespace banyanknot::ctl

#endif  // BANYANKNOT_CTL_LOG_LINE_H_
