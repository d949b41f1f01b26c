#ifndef BANYANKNOT_STANDINS_LOAD_SETTINGS_H_
#define BANYANKNOT_STANDINS_LOAD_SETTINGS_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "banyanknot/protocol/protocol_error.h"
#include "banyanknot/state/key_range.h"
#include "banyanknot/state/result.h"
#include "banyanknot/state/util/time.h"

namespace banyanknot::standins {

/// \brief One kind of request in the mix of a load.
struct LoadItem {
  std::string name;
  std::string service;
  std::uint64_t weight = 1;
  state::Duration deadline = state::Milliseconds(1'000);
  double coverage_floor = 0;  ///< asked for; 0 for the service's
  bool is_action = false;     ///< may not be repeated; posted with a ticket
  state::KeyRange key_space;
  std::uint64_t key_stride = 100;
  std::uint64_t shards = 1;
};

/// \brief What load to offer.
struct LoadSettings {
  std::vector<LoadItem> mix;
  std::uint64_t rate = 20;  ///< requests a second, all items together
  std::uint64_t seed = 1;
  state::Duration ready_poll = state::Milliseconds(500);  ///< balancer's lag
  std::size_t connections_per_host = 256;
};

/// \brief Reads `{"rate", "seed", "mix": [{...}]}`.
state::Result<LoadSettings, protocol::ProtocolError> ReadLoadSettings(
    const nlohmann::json& value);

}  // namespace banyanknot::standins

#endif  // BANYANKNOT_STANDINS_LOAD_SETTINGS_H_
