#ifndef BANYANKNOT_COORDINATION_WORKSPACE_CONFIGURATION_AGE_H_
#define BANYANKNOT_COORDINATION_WORKSPACE_CONFIGURATION_AGE_H_

#include <optional>

#include "banyanknot/state/util/time.h"

namespace banyanknot::coordination {

/// \brief Tells how old this host's view of the published routes and workspaces
/// may be. Thread-safe.
class ConfigurationAge {
 public:
  virtual ~ConfigurationAge() = default;
  /// \brief Returns the time since the source was last heard, directly or
  /// through another host; nothing if it never was.
  virtual std::optional<state::Duration> Age(state::TimePoint now) const = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_WORKSPACE_CONFIGURATION_AGE_H_
