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
  std::string host;  ///< or the file's name, where no line names the host
  std::string time;  ///< as the host wrote it, in UTC
  std::int64_t unix_ms = 0;
  std::string name;               ///< of the event
  nlohmann::ordered_json fields;  ///< all that was written

  /// \returns empty if the line has no such field
  std::string Field(std::string_view field) const;
  bool Is(coordination::EventCode event) const;
};

/// \brief Reads one line; what a collector puts before the object is passed
/// over, but for its last word, which names the host.
/// \returns nothing if the line is cut off or is no log line
std::optional<LogLine> ParseLogLine(const std::string& text);

/// \brief The line for a reader: time, host, event, and the other fields.
std::string ToText(const LogLine& line);

/// \brief Milliseconds since 1970 of a time like 2026-12-04T09:30:00.250Z.
/// \returns nothing if it can't be read
std::optional<std::int64_t> ParseTime(const std::string& text);

}  // namespace banyanknot::ctl

#endif  // BANYANKNOT_CTL_LOG_LINE_H_
