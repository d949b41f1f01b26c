#include "command_line.h"

#include "audit_command.h"
#include "check_command.h"
#include "check_routes_command.h"
#include "diff_command.h"
#include "explain_command.h"
#include "query_command.h"
#include "status_command.h"
#include "timeline_command.h"
#include "trace_command.h"

namespace banyanknot::ctl {

CommandLine::CommandLine(const coordination::EntryDecoder& decoder,
                         const coordination::RoutesReader& routes_reader,
                         HostClient& client, const LogOptions& log_options) {
  this->commands.push_back(std::make_unique<CheckCommand>(decoder));
  this->commands.push_back(std::make_unique<DiffCommand>());
  this->commands.push_back(std::make_unique<CheckRoutesCommand>(routes_reader));
  this->commands.push_back(std::make_unique<QueryCommand>(client));
  this->commands.push_back(std::make_unique<StatusCommand>(client));
  this->commands.push_back(std::make_unique<AuditCommand>(client));
  this->commands.push_back(std::make_unique<ExplainCommand>(client));
  this->commands.push_back(std::make_unique<TraceCommand>(log_options));
  this->commands.push_back(std::make_unique<TimelineCommand>(log_options));
}

std::string CommandLine::Help() const {
  std::string help = "banyanknotctl COMMAND ARGUMENTS\n";
  for (const std::unique_ptr<Command>& command : this->commands) {
    help += "  " + std::string(command->Usage()) + "\n";
  }
  help +=
      "HOSTS is ADDRESS:PORT[,ADDRESS:PORT...]. trace and timeline take\n"
      "--json, --from=TIME and --until=TIME. Exit status:";
  for (const state::EnumName<ExitStatus>& row : kExitStatusNames) {
    help += " " + std::to_string(static_cast<int>(row.value)) + " " +
            std::string(row.name);
  }
  return help + "\n";
}

ExitStatus CommandLine::Run(const std::vector<std::string>& words,
                            std::ostream& out, std::ostream& err) {
  for (const std::unique_ptr<Command>& command : this->commands) {
    if (!words.empty() && command->Name() == words[0]) {
      return command->Run({words.begin() + 1, words.end()}, out, err);
    }
  }
  err << this->Help();
  return ExitStatus::kUsage;
}

}  // namespace banyanknot::ctl
