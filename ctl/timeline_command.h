#ifndef BANYANKNOT_CTL_TIMELINE_COMMAND_H_
#define BANYANKNOT_CTL_TIMELINE_COMMAND_H_

#include "command.h"
#include "log_files.h"

namespace banyanknot::ctl {

/// \brief Prints the state changes of the fleet from the hosts' logs, and the
/// running hosts on which a change of the fleet is missing.
///
/// Exit status: kOk; kUsage if a file can't be opened.
class TimelineCommand : public Command {
 public:
  explicit TimelineCommand(LogOptions options) : options(std::move(options)) {}
  std::string_view Name() const override { return "timeline"; }
  std::string_view Usage() const override {
    return "timeline FILE...    what hosts came to believe, from their logs";
  }
  ExitStatus Run(const std::vector<std::string>& arguments, std::ostream& out,
                 std::ostream& err) override;

 private:
  const LogOptions options;
};

}  // namespace banyanknot::ctl

#endif  // BANYANKNOT_CTL_TIMELINE_COMMAND_H_
