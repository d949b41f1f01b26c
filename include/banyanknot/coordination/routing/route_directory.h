#ifndef BANYANKNOT_COORDINATION_ROUTING_ROUTE_DIRECTORY_H_
#define BANYANKNOT_COORDINATION_ROUTING_ROUTE_DIRECTORY_H_

#include <mutex>

#include "banyanknot/state/routing/route_table.h"

namespace banyanknot::coordination {

/// \brief The routes in force: the greatest version ever seen.
///
/// Thread-safe.
class RouteDirectory {
 public:
  /// \returns null as long as no version is known
  state::RouteTablePtr Current() const;
  /// \returns false if the version in force is as new
  bool InstallIfNewer(state::RouteTablePtr table);

 private:
  mutable std::mutex mutex;
  state::RouteTablePtr current;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_ROUTE_DIRECTORY_H_
