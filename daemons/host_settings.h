#ifndef BANYANKNOT_DAEMONS_HOST_SETTINGS_H_
#define BANYANKNOT_DAEMONS_HOST_SETTINGS_H_

#include <array>
#include <string>
#include <vector>

#include "banyanknot/coordination/entry_decoder.h"
#include "banyanknot/state/endpoint.h"
#include "banyanknot/state/enum_names.h"
#include "banyanknot/state/identifier.h"
#include "banyanknot/state/result.h"

namespace banyanknot::daemons {

/// \brief Which policies a host follows.
enum class PolicySet {
  kFull,   ///< what the system is for
  kNaive,  ///< the baseline that measures compare with
};

/// \brief Names of PolicySet, as they stand in settings.
inline constexpr std::array<state::EnumName<PolicySet>, 2> kPolicySetNames{{
    {PolicySet::kFull, "full"},
    {PolicySet::kNaive, "naive"},
}};

/// \brief What one host is told at its start: who it is and where it listens.
struct HostSettings {
  state::HostId id;
  state::FailureDomainId domain;
  state::Endpoint caller_listen;
  state::Endpoint peer_listen;
  state::Endpoint platform;
  std::size_t threads = 2;
  PolicySet policies = PolicySet::kFull;
};

using HostSettingsResult =
    state::Result<HostSettings, std::vector<coordination::EntryFault>>;

/// \brief Reads the settings file of a host.
HostSettingsResult ReadHostSettings(const std::string& file);

}  // namespace banyanknot::daemons

#endif  // BANYANKNOT_DAEMONS_HOST_SETTINGS_H_
