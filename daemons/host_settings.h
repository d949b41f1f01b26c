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

/// \brief What one host is told at its start: who it is and where it listens.
struct HostSettings {
  state::HostId id;
  state::FailureDomainId domain;
  state::Endpoint caller_listen;
  state::Endpoint peer_listen;
  state::Endpoint platform;
  std::vector<state::Endpoint>
      seed_peers;  ///< asked before the platform answers
  /// IP number that connections are made from; empty to leave it to the
  /// system.
  std::string connect_from;
  std::size_t threads = 2;
  PolicySet policies = PolicySet::kFull;
  coordination::LogSeverity log_severity = coordination::LogSeverity::kInfo;
  LogFormat log_format = LogFormat::kText;
};

using HostSettingsResult =
    state::Result<HostSettings, std::vector<coordination::EntryFault>>;

/// \brief Reads the settings file of a host.
HostSettingsResult ReadHostSettings(const std::string& file);

}  // namespace banyanknot::daemons

#endif  // BANYANKNOT_DAEMONS_HOST_SETTINGS_H_
