#ifndef BANYANKNOT_CTL_EXIT_STATUS_H_
#define BANYANKNOT_CTL_EXIT_STATUS_H_

#include <array>
#include <string_view>

#include "banyanknot/state/enum_names.h"

namespace banyanknot::ctl {

/// \brief How a command ended; the exit status of the program.
enum class ExitStatus {
  kOk = 0,           ///< done, and nothing is amiss
  kFault = 1,        ///< done, and something is amiss
  kUsage = 2,        ///< the command line or a file can't be read
  kUnreachable = 3,  ///< a host did not answer
};

/// \brief Names of ExitStatus, as the help text shows them.
inline constexpr std::array<state::EnumName<ExitStatus>, 4> kExitStatusNames{{
    {ExitStatus::kOk, "ok"},
    {ExitStatus::kFault, "fault"},
    {ExitStatus::kUsage, "usage"},
    {ExitStatus::kUnreachable, "unreachable"},
}};

}  // namespace banyanknot::ctl

#endif  // BANYANKNOT_CTL_EXIT_STATUS_H_
