#ifndef BANYANKNOT_CTL_COMMAND_H_
#define BANYANKNOT_CTL_COMMAND_H_

#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "exit_status.h"

namespace banyanknot::ctl {

/// \brief A command of banyanknotctl.
class Command {
 public:
  virtual ~Command() = default;
  virtual std::string_view Name() const = 0;
  /// \brief Arguments and purpose, for the help text.
  virtual std::string_view Usage() const = 0;
  /// \param arguments the words after the command name
  /// \param out receives the result
  /// \param err receives faults and usage errors
  virtual ExitStatus Run(const std::vector<std::string>& arguments,
                         std::ostream& out, std::ostream& err) = 0;
};

}  // namespace banyanknot::ctl

#endif  // BANYANKNOT_CTL_COMMAND_H_
