#include "log_line.h"

#include <algorithm>
#include <array>
#include <boost/date_time/posix_time/posix_time.hpp>
#include <exception>
#include <sstream>

namespace banyanknot::ctl {
namespace {

using nlohmann::ordered_json;
namespace posix_time = boost::posix_time;

/// Fields that ToText() formats itself or leaves out.
constexpr std::array<std::string_view, 4> kOmittedFields = {"time", "severity",
                                                            "event", "name"};

std::string LastWord(const std::string& text) {
  std::istringstream words(text);
  std::string word;
  while (words >> word) continue;
  return word;
}

std::string TextOf(const ordered_json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

}  // namespace

std::string LogLine::Field(std::string_view field) const {
  const auto found = this->fields.find(std::string(field));
  return found == this->fields.end() ? "" : TextOf(*found);
}

bool LogLine::Is(coordination::EventCode event) const {
  return this->name == coordination::DescriptionOf(event).name;
}

std::optional<std::int64_t> ParseTime(const std::string& text) {
  if (text.empty() || text.back() != 'Z') return std::nullopt;
  try {
    const posix_time::ptime time =
        posix_time::from_iso_extended_string(text.substr(0, text.size() - 1));
    if (time.is_special()) return std::nullopt;
    const posix_time::ptime epoch(boost::gregorian::date(1970, 1, 1));
    return (time - epoch).total_milliseconds();
  } catch (const std::exception&) {  // any parse error
    return std::nullopt;
  }
}

std::optional<LogLine> ParseLogLine(const std::string& text) {
  const std::size_t start = text.find('{');
  if (start == std::string::npos) return std::nullopt;
  LogLine line;
  line.fields = ordered_json::parse(text.substr(start), nullptr, false);
  if (!line.fields.is_object()) return std::nullopt;
  line.time = line.Field("time");
  line.name = line.Field("name");
  const std::optional<std::int64_t> unix_ms = ParseTime(line.time);
  if (!unix_ms || line.name.empty()) return std::nullopt;
  line.unix_ms = *unix_ms;
  line.host = LastWord(text.substr(0, start));
  return line;
}

std::string ToText(const LogLine& line) {
  std::string text = line.time + " " + line.host + " " + line.name;
  for (const auto& [field, value] : line.fields.items()) {
    const bool is_omitted =
        std::find(kOmittedFields.begin(), kOmittedFields.end(), field) !=
        kOmittedFields.end();
    const std::string value_text = TextOf(value);
    if (is_omitted || value_text.empty()) continue;
    text += ' ';
    text += field;
    text += '=';
    text += value_text;
  }
  return text;
}

}  // namespace banyanknot::ctl
