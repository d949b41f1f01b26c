#ifndef BANYANKNOT_DAEMONS_RELAY_SETTINGS_H_
#define BANYANKNOT_DAEMONS_RELAY_SETTINGS_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "banyanknot/coordination/entry_decoder.h"
#include "banyanknot/coordination/log_severity.h"
#include "banyanknot/coordination/quota/quota_rules.h"
#include "banyanknot/coordination/routing/server_choice.h"
#include "banyanknot/state/endpoint.h"
#include "banyanknot/state/identifier.h"
#include "banyanknot/state/result.h"
#include "banyanknot/state/util/time.h"

namespace banyanknot::daemons {

/// \brief Settings of one relay host.
struct RelaySettings {
  state::HostId id;
  state::FailureDomainId domain;
  state::Endpoint caller_listen;
  state::Endpoint ready_listen;
  state::Endpoint metrics_listen;
  state::Endpoint source;  ///< publishes routes and servers
  /// For other hosts; without it, this host works alone.
  std::optional<state::Endpoint> peer_listen;
  std::vector<state::Endpoint> seeds;  ///< of some hosts; may be stale
  double cores = 1;                    ///< processor share of this host
  /// Max. time to detect a source that stopped responding.
  state::Duration source_contact_timeout = state::Milliseconds(4'000);
  std::size_t threads = 1;
  /// Time for the load balancer to see that the host is not ready: it probes
  /// every second and removes a host after two failed probes.
  state::Duration leave_grace = state::Milliseconds(2'600);
  state::Duration stop_timeout = state::Milliseconds(5'500);
  /// Memory that the process may use; replies get a share of it.
  std::size_t memory_limit_bytes = std::size_t{256} << 20;
  /// File descriptors that the process may have open, unless the system allows
  /// fewer.
  std::size_t max_descriptors = 1u << 20;
  double extra_request_share = 0.17;
  /// How the server of a request is chosen.
  coordination::ServerChoiceKind server_choice =
      coordination::ServerChoiceKind::kLeastCost;
  /// After this time without news of the source, a host accepts no keys;
  /// nothing if it goes on with those that it knows.
  std::optional<state::Duration> key_lifetime;
  /// Set where the quotas of workspaces are kept over the fleet.
  std::optional<coordination::QuotaRules> quota_rules;
  coordination::LogSeverity log_severity = coordination::LogSeverity::kInfo;
};

using RelaySettingsResult =
    state::Result<RelaySettings, std::vector<coordination::EntryFault>>;

/// \brief Reads and validates the settings file of a relay host.
/// \returns the settings, or every fault with its JSON pointer
RelaySettingsResult ReadRelaySettings(const std::string& file);

}  // namespace banyanknot::daemons

#endif  // BANYANKNOT_DAEMONS_RELAY_SETTINGS_H_
