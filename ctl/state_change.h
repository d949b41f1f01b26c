#ifndef BANYANKNOT_CTL_STATE_CHANGE_H_
#define BANYANKNOT_CTL_STATE_CHANGE_H_

#include <array>
#include <set>
#include <string>
#include <vector>

#include "banyanknot/state/enum_names.h"
#include "log_line.h"

namespace banyanknot::ctl {

/// \brief Which hosts a state change is expected on.
enum class ChangeScope {
  kFleet,  ///< every running host
  kHost,   ///< the host that logged it
};

inline constexpr std::array<state::EnumName<ChangeScope>, 2> kChangeScopeNames{{
    {ChangeScope::kFleet, "fleet"},
    {ChangeScope::kHost, "host"},
}};

/// \brief A state change that one or more hosts logged.
struct StateChange {
  ChangeScope scope = ChangeScope::kHost;
  std::string event;
  std::string subject;  ///< the version, server, failure domain or host
  std::string first_time;
  std::int64_t first_ms = 0;
  std::int64_t last_ms = 0;
  std::set<std::string> hosts;    ///< that logged it
  std::set<std::string> missing;  ///< that ran and did not log it; kFleet only
};

/// \brief Extracts the state changes of the fleet, in order of time. The same
/// change on several hosts, each within 6 s of the one before, counts as one.
/// \param lines log lines of all hosts, in order of time
std::vector<StateChange> FindStateChanges(const std::vector<LogLine>& lines);

}  // namespace banyanknot::ctl

#endif  // BANYANKNOT_CTL_STATE_CHANGE_H_
