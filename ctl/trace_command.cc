#include "trace_command.h"

#include "request_trace.h"

namespace banyanknot::ctl {
namespace {

void PrintText(const RequestTrace& trace, const std::string& request,
               std::ostream& out) {
  for (const LogLine& line : trace.lines) {
    const bool is_own = line.Field("request") == request;
    out << (is_own ? "> " : "  ") << ToText(line) << "\n";
  }
  for (const std::string& explanation : trace.explanations) {
    out << "= " << explanation << "\n";
  }
}

void PrintJson(const RequestTrace& trace, std::ostream& out) {
  nlohmann::ordered_json lines = nlohmann::ordered_json::array();
  for (const LogLine& line : trace.lines) {
    nlohmann::ordered_json row = line.fields;
    row["log_host"] = line.host;
    lines.push_back(std::move(row));
  }
  out << nlohmann::ordered_json{{"lines", std::move(lines)},
                                {"readings", trace.explanations}}
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
  const RequestTrace trace = FindRequestTrace(request, *lines);
  if (trace.lines.empty()) {
    err << "no line names request " << request
        << ": it ended well and was not in the sample, was left out to bound "
           "the log, or reached no host\n";
    return ExitStatus::kFault;
  }
  if (this->options.as_json) {
    PrintJson(trace, out);
  } else {
    PrintText(trace, request, out);
  }
  return ExitStatus::kOk;
}

}  // namespace banyanknot::ctl
