#ifndef BANYANKNOT_COORDINATION_ROUTING_ROUTE_DIRECTORY_H_
#define BANYANKNOT_COORDINATION_ROUTING_ROUTE_DIRECTORY_H_

#include <mutex>

#include "banyanknot/state/routing/route_table.h"

namespace banyanknot::coordination {

/// \brief Holds the routes in force: the highest version seen so far.
///
/// Thread-safe.
class RouteDirectory {
 public:
  /// \returns null before the first version
  state::RouteTablePtr Current() const;
  /// \returns false if the version in force is at least as new
  bool InstallIfNewer(state::RouteTablePtr table);

 private:
  mutable std::mutex mutex;
  state::RouteTablePtr current;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_ROUTE_DIRECTORY_H_
