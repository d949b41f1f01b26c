#ifndef BANYANKNOT_CTL_TRACE_COMMAND_H_
#define BANYANKNOT_CTL_TRACE_COMMAND_H_

#include "command.h"
#include "log_files.h"

namespace banyanknot::ctl {

/// \brief Tells the story of one request from the hosts' logs: what was
/// decided on it, and what its host believed then of the servers it missed,
/// of its routes and of its reach.
///
/// Exit status: ok; fault if no line names the request; usage if a file can't
/// be opened.
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
