#ifndef BANYANKNOT_CTL_BELIEF_H_
#define BANYANKNOT_CTL_BELIEF_H_

#include <array>
#include <set>
#include <string>
#include <vector>

#include "banyanknot/state/enum_names.h"
#include "log_line.h"

namespace banyanknot::ctl {

/// \brief Whom a change of belief concerns.
enum class BeliefScope {
  kFleet,  ///< every host should come to it
  kHost,   ///< the host alone
};

inline constexpr std::array<state::EnumName<BeliefScope>, 2> kBeliefScopeNames{{
    {BeliefScope::kFleet, "fleet"},
    {BeliefScope::kHost, "host"},
}};

/// \brief A change of what hosts believe, as one or more of them logged it.
struct Belief {
  BeliefScope scope = BeliefScope::kHost;
  std::string event;
  std::string subject;  ///< the version, server, failure domain or host
  std::string first_time;
  std::int64_t first_ms = 0;
  std::int64_t last_ms = 0;
  std::set<std::string> hosts;    ///< that came to it
  std::set<std::string> missing;  ///< that ran and did not; of kFleet only
};

/// \brief What the fleet came to believe, in order of time. Hosts that say the
/// same within a few seconds share one belief.
/// \param lines of all hosts, in the order of their times
std::vector<Belief> FindBeliefs(const std::vector<LogLine>& lines);

}  // namespace banyanknot::ctl

#endif  // BANYANKNOT_CTL_BELIEF_H_
