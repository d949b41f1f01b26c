#ifndef BANYANKNOT_DAEMONS_HOST_SETTINGS_H_
#define BANYANKNOT_DAEMONS_HOST_SETTINGS_H_

#include <string>
#include <vector>

#include "banyanknot/coordination/entry_decoder.h"
#include "banyanknot/coordination/log_severity.h"
#include "banyanknot/state/endpoint.h"
#include "banyanknot/state/identifier.h"
#include "banyanknot/state/result.h"
#include "log_format.h"
#include "policy_set.h"

namespace banyanknot::daemons {

/// \brief Settings of one host, read at startup.
struct HostSettings {
  state::HostId id;
  state::FailureDomainId domain;
  state::Endpoint caller_listen;
  state::Endpoint peer_listen;
  state::Endpoint platform;
  /// Peers contacted before the platform has returned the list of hosts.
  std::vector<state::Endpoint> seed_peers;
  /// Local IP address of outgoing connections; empty if the system chooses.
  std::string connect_from;
  std::size_t threads = 2;
  PolicySet policies = PolicySet::kFull;
  coordination::LogSeverity log_severity = coordination::LogSeverity::kInfo;
  LogFormat log_format = LogFormat::kText;
};

using HostSettingsResult =
    state::Result<HostSettings, std::vector<coordination::EntryFault>>;

/// \brief Reads and validates the settings file of a host.
/// \returns the settings, or every fault with its JSON pointer
HostSettingsResult ReadHostSettings(const std::string& file);

}  // namespace banyanknot::daemons

#endif  // BANYANKNOT_DAEMONS_HOST_SETTINGS_H_
