#ifndef BANYANKNOT_COORDINATION_HOST_LIST_SOURCE_H_
#define BANYANKNOT_COORDINATION_HOST_LIST_SOURCE_H_

#include <functional>
#include <vector>

#include "banyanknot/coordination/coordination_error.h"
#include "banyanknot/state/host_record.h"
#include "banyanknot/state/result.h"

namespace banyanknot::coordination {

using HostListResult =
    state::Result<std::vector<state::ListedHost>, CoordinationError>;
using HostListHandler = std::function<void(HostListResult)>;

/// \brief Reads the platform's list of live and leaving hosts, which lags.
class HostListSource {
 public:
  virtual ~HostListSource() = default;

  /// \brief Reads the whole list.
  /// \param handler called exactly once, never inside ReadHosts()
  virtual void ReadHosts(HostListHandler handler) = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_HOST_LIST_SOURCE_H_
