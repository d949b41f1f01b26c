#ifndef BANYANKNOT_CTL_DIFF_COMMAND_H_
#define BANYANKNOT_CTL_DIFF_COMMAND_H_

#include "command.h"

namespace banyanknot::ctl {

/// \brief Prints the differences between two catalogue files.
///
/// Exit status: kOk if they are equal; kFault if not; kUsage if a file can't be
/// read.
class DiffCommand : public Command {
 public:
  std::string_view Name() const override { return "diff"; }
  std::string_view Usage() const override {
    return "diff OLD NEW        list the entries added, removed and changed";
  }
  ExitStatus Run(const std::vector<std::string>& arguments, std::ostream& out,
                 std::ostream& err) override;
};

}  // namespace banyanknot::ctl

#endif  // BANYANKNOT_CTL_DIFF_COMMAND_H_
