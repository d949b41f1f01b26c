#ifndef BANYANKNOT_CTL_LOG_FILES_H_
#define BANYANKNOT_CTL_LOG_FILES_H_

#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "log_line.h"

namespace banyanknot::ctl {

/// \brief Time range and output format of the commands that read logs.
struct LogOptions {
  bool as_json = false;
  std::string from;  ///< start of the time range, UTC, inclusive; empty for all
  std::string until;  ///< end of the time range, UTC, exclusive; empty for all
};

/// \brief Reads log files, each with the lines of one or more hosts.
///
/// Skips malformed and truncated lines and prints their number for each file to
/// `err`.
/// \returns the lines in order of time; nothing if any file can't be opened
std::optional<std::vector<LogLine>> ReadLogFiles(
    const std::vector<std::string>& files, const LogOptions& options,
    std::ostream& err);

}  // namespace banyanknot::ctl

#endif  // BANYANKNOT_CTL_LOG_FILES_H_
