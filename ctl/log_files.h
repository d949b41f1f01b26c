#ifndef BANYANKNOT_CTL_LOG_FILES_H_
#define BANYANKNOT_CTL_LOG_FILES_H_

#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "log_line.h"

namespace banyanknot::ctl {

/// \brief Which lines of the logs a command takes, and how it prints them.
struct LogOptions {
  bool as_json = false;
  std::string from;   ///< first time of day taken, in UTC; empty for all
  std::string until;  ///< first time not taken any more; empty for all
};

/// \brief Reads the logs of any number of hosts, in any mixture of files.
///
/// Lines that can't be read, cut off ones among them, are passed over and
/// counted on `err`, a line for each file.
/// \returns the lines in the order of their times; nothing at all if a file
///     can't be opened
std::optional<std::vector<LogLine>> ReadLogFiles(
    const std::vector<std::string>& files, const LogOptions& options,
    std::ostream& err);

}  // namespace banyanknot::ctl

#endif  // BANYANKNOT_CTL_LOG_FILES_H_
