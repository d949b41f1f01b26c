#ifndef BANYANKNOT_COORDINATION_ROUTING_SPLIT_CHOOSER_H_
#define BANYANKNOT_COORDINATION_ROUTING_SPLIT_CHOOSER_H_

#include <string>
#include <vector>

#include "banyanknot/state/routing/route.h"
#include "banyanknot/state/sharded_table.h"

namespace banyanknot::coordination {

/// \brief Distributes a route's requests over the services of its split.
///
/// Uses smooth weighted round robin: any sequence of requests keeps to the
/// weights, even while a service has no capacity. Thread-safe.
class SplitChooser {
 public:
  state::ServiceId Choose(const state::Route& route);

 private:
  state::ShardedTable<std::string, std::vector<double>> credits;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_SPLIT_CHOOSER_H_
