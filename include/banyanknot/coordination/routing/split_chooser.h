#ifndef BANYANKNOT_COORDINATION_ROUTING_SPLIT_CHOOSER_H_
#define BANYANKNOT_COORDINATION_ROUTING_SPLIT_CHOOSER_H_

#include <string>
#include <vector>

#include "banyanknot/state/routing/route.h"
#include "banyanknot/state/sharded_table.h"

namespace banyanknot::coordination {

/// \brief Deals a route's requests to the services of its split.
///
/// Smooth weighted round robin: any run of requests keeps the weights, also
/// while a service is short of room. Thread-safe.
class SplitChooser {
 public:
  state::ServiceId Choose(const state::Route& route);

 private:
  state::ShardedTable<std::string, std::vector<double>> credits;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_SPLIT_CHOOSER_H_
