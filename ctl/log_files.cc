#include "log_files.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>

namespace banyanknot::ctl {
namespace {

constexpr coordination::EventCode kStartEvent =
    coordination::EventCode::kHostStarting;

/// Sets the host of lines without one: only host_starting names its host. Lines
/// before the first such event get its host, or the file name if there is none.
void AssignHosts(const std::string& file, std::vector<LogLine>& lines) {
  std::string host = std::filesystem::path(file).filename().string();
  for (const LogLine& line : lines) {
    if (!line.Is(kStartEvent)) continue;
    host = line.Field("host");
    break;
  }
  for (LogLine& line : lines) {
    if (line.Is(kStartEvent)) host = line.Field("host");
    if (line.host.empty()) line.host = host;
  }
}

std::vector<LogLine> ReadLines(std::istream& stream, std::size_t& malformed) {
  std::vector<LogLine> lines;
  std::string text;
  while (std::getline(stream, text)) {
    if (text.empty()) continue;
    std::optional<LogLine> line = ParseLogLine(text);
    if (line) {
      lines.push_back(std::move(*line));
    } else {
      ++malformed;
    }
  }
  return lines;
}

bool IsInTimeRange(const LogLine& line, const LogOptions& options) {
  // ISO 8601 timestamps of one format compare as text.
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
    std::size_t malformed = 0;
    std::vector<LogLine> lines = ReadLines(stream, malformed);
    if (malformed > 0) {
      err << file << ": " << malformed << " lines can't be read\n";
    }
    AssignHosts(file, lines);
    std::copy_if(std::make_move_iterator(lines.begin()),
                 std::make_move_iterator(lines.end()), std::back_inserter(all),
                 [&options](const LogLine& line) {
                   return IsInTimeRange(line, options);
                 });
  }
  std::stable_sort(all.begin(), all.end(),
                   [](const LogLine& left, const LogLine& right) {
                     return left.unix_ms < right.unix_ms;
                   });
  return all;
}

}  // namespace banyanknot::ctl
