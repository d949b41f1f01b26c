#ifndef BANYANKNOT_CTL_TRACE_COMMAND_H_
#define BANYANKNOT_CTL_TRACE_COMMAND_H_

#include "command.h"
#include "log_files.h"

namespace banyanknot::ctl {

/// \brief Prints the log lines on one request: its outcome, and the state of
/// its host at that time: routes, reachability and the servers it missed.
///
/// Exit status: kOk; kFault if no line names the request; kUsage if a file
/// can't be opened.
class TraceCommand : public Command {
 public:
  explicit TraceCommand(LogOptions options) : options(std::move(options)) {}
  std::string_view Name() const override { return "trace"; }
  std::string_view Usage() const override {
    return "trace ID FILE...    a request's story, from the hosts' logs";
  }
  ExitStatus Run(const std::vector<std::string>& arguments, std::ostream& out,
                 std::ostream& err) override;

 private:
  const LogOptions options;
};

}  // namespace banyanknot::ctl

#endif  // BANYANKNOT_CTL_TRACE_COMMAND_H_
