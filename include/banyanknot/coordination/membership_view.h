#ifndef BANYANKNOT_COORDINATION_MEMBERSHIP_VIEW_H_
#define BANYANKNOT_COORDINATION_MEMBERSHIP_VIEW_H_

#include <optional>
#include <vector>

#include "banyanknot/state/host_record.h"

namespace banyanknot::coordination {

/// \brief What this host knows of the fleet, read-only.
///
/// Thread-safe. The view may be wrong: it makes things faster, and nothing
/// that must hold may rest on it.
class MembershipView {
 public:
  virtual ~MembershipView() = default;

  virtual const state::HostIdentity& Self() const = 0;

  /// \brief What is known of another host.
  virtual std::optional<state::HostRecord> Find(
      const state::HostId& id) const = 0;

  /// \brief All other hosts that are known, in the order of their ids.
  virtual std::vector<state::HostRecord> Hosts() const = 0;

  /// \brief The other hosts that may be sent messages: alive or suspect.
  virtual std::vector<state::HostRecord> ReachableHosts() const = 0;

  /// \brief The hosts of `domain` that work may be divided over: alive or
  /// suspect and not leaving; this host among them if it is of that domain.
  virtual std::vector<state::HostId> ActiveHostsIn(
      const state::FailureDomainId& domain) const = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_MEMBERSHIP_VIEW_H_
