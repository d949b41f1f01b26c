#ifndef BANYANKNOT_CTL_COMMAND_H_
#define BANYANKNOT_CTL_COMMAND_H_

#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "exit_status.h"

namespace banyanknot::ctl {

/// \brief One command of the operators' program.
class Command {
 public:
  virtual ~Command() = default;
  virtual std::string_view Name() const = 0;
  /// \brief Arguments and purpose, for the help text.
  virtual std::string_view Usage() const = 0;
  /// \param arguments what stands behind the command's name
  /// \param out takes the result
  /// \param err takes faults
  virtual ExitStatus Run(const std::vector<std::string>& arguments,
                         std::ostream& out, std::ostream& err) = 0;
};

}  // namespace banyanknot::ctl

#endif  // BANYANKNOT_CTL_COMMAND_H_
