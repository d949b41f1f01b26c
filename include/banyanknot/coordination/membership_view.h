#ifndef BANYANKNOT_COORDINATION_MEMBERSHIP_VIEW_H_
#define BANYANKNOT_COORDINATION_MEMBERSHIP_VIEW_H_

#include <optional>
#include <vector>

#include "banyanknot/state/host_record.h"

namespace banyanknot::coordination {

/// \brief Read-only view of this host's knowledge of the fleet.
///
/// Thread-safe. The view may be wrong: use it as an optimization only, never
/// for correctness.
class MembershipView {
 public:
  virtual ~MembershipView() = default;

  virtual const state::HostIdentity& Self() const = 0;

  /// \brief Returns the record of another host, if it is known.
  virtual std::optional<state::HostRecord> Find(
      const state::HostId& id) const = 0;

  /// \brief Returns all other known hosts, ordered by id.
  virtual std::vector<state::HostRecord> Hosts() const = 0;

  /// \brief Returns the other hosts that may be sent messages: alive or
  /// suspect, ordered by id.
  virtual std::vector<state::HostRecord> ReachableHosts() const = 0;

  /// \brief Returns the hosts of `domain` to distribute work over: alive or
  /// suspect and not leaving; includes this host if it is in that domain.
  virtual std::vector<state::HostId> ActiveHostsIn(
      const state::FailureDomainId& domain) const = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_MEMBERSHIP_VIEW_H_
