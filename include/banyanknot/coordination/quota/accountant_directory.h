#ifndef BANYANKNOT_COORDINATION_QUOTA_ACCOUNTANT_DIRECTORY_H_
#define BANYANKNOT_COORDINATION_QUOTA_ACCOUNTANT_DIRECTORY_H_

#include <optional>
#include <vector>

#include "banyanknot/state/routing/host_advert.h"

namespace banyanknot::coordination {

/// \brief Tells which hosts keep the accounts of quotas. Thread-safe.
class AccountantDirectory {
 public:
  virtual ~AccountantDirectory() = default;
  /// \brief Returns the host that keeps the accounts of this failure domain;
  /// nothing if this host does.
  virtual std::optional<state::HostAdvert> OwnAccountant(
      state::TimePoint now) const = 0;
  /// \brief Returns those of the other failure domains, as far as known.
  virtual std::vector<state::HostAdvert> OtherAccountants(
      state::TimePoint now) const = 0;
  /// \brief Leaves out a host that did not reply, for a while.
  virtual void Suspect(const state::HostId& host, state::TimePoint now) = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_QUOTA_ACCOUNTANT_DIRECTORY_H_
