#include "banyanknot/protocol/log_line.h"

#include <cstdio>
#include <ctime>
#include <nlohmann/json.hpp>

namespace banyanknot::protocol {
namespace {

constexpr std::int64_t kMillisecondsPerSecond = 1'000;

std::string ToTimestamp(std::int64_t unix_ms) {
  const std::time_t seconds =
      static_cast<std::time_t>(unix_ms / kMillisecondsPerSecond);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char date[32];
  std::strftime(date, sizeof(date), "%Y-%m-%dT%H:%M:%S", &parts);
  char text[48];
  std::snprintf(text, sizeof(text), "%s.%03dZ", date,
                static_cast<int>(unix_ms % kMillisecondsPerSecond));
  return text;
}

}  // namespace

std::string EncodeTextLogLine(
    std::int64_t unix_ms, const coordination::EventDescription& event,
    const std::vector<coordination::LogField>& fields) {
  std::string line = ToTimestamp(unix_ms) + " " +
                     std::string(NameOf(event.severity)) + " " +
                     std::to_string(static_cast<std::uint32_t>(event.code)) +
                     " " + std::string(event.name);
  for (const coordination::LogField& field : fields) {
    line += " " + std::string(field.name) + "=" +
            nlohmann::json(field.value)
                .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  }
  return line;
}

std::string EncodeJsonLogLine(
    std::int64_t unix_ms, const coordination::EventDescription& event,
    const std::vector<coordination::LogField>& fields) {
  nlohmann::ordered_json line;
  line["time"] = ToTimestamp(unix_ms);
  line["severity"] = std::string(NameOf(event.severity));
  line["event"] = static_cast<std::uint32_t>(event.code);
  line["name"] = std::string(event.name);
  for (const coordination::LogField& field : fields) {
    line[std::string(field.name)] = field.value;
  }
  return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace banyanknot::protocol
