#ifndef BANYANKNOT_CTL_EXIT_STATUS_H_
#define BANYANKNOT_CTL_EXIT_STATUS_H_

#include <array>
#include <string_view>

#include "banyanknot/state/enum_names.h"

namespace banyanknot::ctl {

/// \brief Result of a command; the exit status of the program.
enum class ExitStatus {
  kOk = 0,           ///< success
  kFault = 1,        ///< fault or difference found, or error response
  kUsage = 2,        ///< invalid command line or unreadable file
  kUnreachable = 3,  ///< no response from a host
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
