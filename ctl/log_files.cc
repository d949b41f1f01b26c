#include "log_files.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>

namespace banyanknot::ctl {
namespace {

constexpr coordination::EventCode kStart =
    coordination::EventCode::kHostStarting;

/// Names the host of lines that say nothing of it: a host names itself when it
/// starts.
void NameHosts(const std::string& file, std::vector<LogLine>& lines) {
  std::string host = std::filesystem::path(file).filename().string();
  for (const LogLine& line : lines) {
    if (!line.Is(kStart)) continue;
    host = line.Field("host");
    break;
  }
  for (LogLine& line : lines) {
    if (line.Is(kStart)) host = line.Field("host");
    if (line.host.empty()) line.host = host;
  }
}

std::vector<LogLine> ReadLines(std::istream& stream, std::size_t& unreadable) {
  std::vector<LogLine> lines;
  std::string text;
  while (std::getline(stream, text)) {
    if (text.empty()) continue;
    std::optional<LogLine> line = ParseLogLine(text);
    if (line) {
      lines.push_back(std::move(*line));
    } else {
      ++unreadable;
    }
  }
  return lines;
}

bool IsTaken(const LogLine& line, const LogOptions& options) {
  // Times of one form compare as text.
  return line.time >= options.from &&
         (options.until.empty() || line.time < options.until);
}

}  // namespace

std::optional<std::vector<LogLine>> ReadLogFiles(
    const std::vector<std::string>& files, const LogOptions& options,
    std::ostream& err) {
  std::vector<LogLine> all;
  for (const std::string& file : files) {
    std::ifstream stream(file);
    if (!stream) {
      err << file << ": can't be opened\n";
      return std::nullopt;
    }
    std::size_t unreadable = 0;
    std::vector<LogLine> lines = ReadLines(stream, unreadable);
    if (unreadable > 0) {
      err << file << ": " << unreadable << " lines can't be read\n";
    }
    NameHosts(file, lines);
    std::copy_if(
        std::make_move_iterator(lines.begin()),
        std::make_move_iterator(lines.end()), std::back_inserter(all),
        [&options](const LogLine& line) { return IsTaken(line, options); });
  }
  std::stable_sort(all.begin(), all.end(),
                   [](const LogLine& left, const LogLine& right) {
                     return left.unix_ms < right.unix_ms;
                   });
  return all;
}

}  // namespace banyanknot::ctl
