#include "trace_command.h"

#include "request_story.h"

namespace banyanknot::ctl {
namespace {

void PrintText(const RequestStory& story, const std::string& request,
               std::ostream& out) {
  for (const LogLine& line : story.lines) {
    const bool is_own = line.Field("request") == request;
    out << (is_own ? "> " : "  ") << ToText(line) << "\n";
  }
  for (const std::string& reading : story.readings) {
    out << "= " << reading << "\n";
  }
}

void PrintJson(const RequestStory& story, std::ostream& out) {
  nlohmann::ordered_json lines = nlohmann::ordered_json::array();
  for (const LogLine& line : story.lines) {
    nlohmann::ordered_json row = line.fields;
    row["log_host"] = line.host;
    lines.push_back(std::move(row));
  }
  out << nlohmann::ordered_json{{"lines", std::move(lines)},
                                {"readings", story.readings}}
             .dump()
      << "\n";
}

}  // namespace

ExitStatus TraceCommand::Run(const std::vector<std::string>& arguments,
                             std::ostream& out, std::ostream& err) {
  if (arguments.size() < 2) {
    err << "usage: " << this->Usage() << "\n";
    return ExitStatus::kUsage;
  }
  const std::string& request = arguments.front();
  const std::optional<std::vector<LogLine>> lines = ReadLogFiles(
      {arguments.begin() + 1, arguments.end()}, this->options, err);
  if (!lines) return ExitStatus::kUsage;
  const RequestStory story = FindStory(request, *lines);
  if (story.lines.empty()) {
    err << "no line names request " << request
        << ": it ended well and was not in the sample, was left out to bound "
           "the log, or reached no host\n";
    return ExitStatus::kFault;
  }
  if (this->options.as_json) {
    PrintJson(story, out);
  } else {
    PrintText(story, request, out);
  }
  return ExitStatus::kOk;
}

}  // namespace banyanknot::ctl
