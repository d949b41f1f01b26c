#ifndef BANYANKNOT_STANDINS_BACKEND_BEHAVIOUR_H_
#define BANYANKNOT_STANDINS_BACKEND_BEHAVIOUR_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "banyanknot/protocol/protocol_error.h"
#include "banyanknot/state/key_range.h"
#include "banyanknot/state/util/time.h"

namespace banyanknot::standins {

/// \brief A shard that a stand-in holds.
struct HeldShard {
  std::string service;
  std::uint32_t shard = 0;
  state::KeyRange range;
};

/// \brief How long a stand-in works on one sub-request.
struct ServiceTime {
  state::Duration mean = state::Milliseconds(1);  ///< spread by half each way
  double straggler_share = 0;           ///< share of replies that are slow
  std::uint64_t straggler_factor = 10;  ///< how much slower those are
  std::uint64_t slow_factor = 1;        ///< steady slowness of the server
};

/// \brief How a stand-in bears its start.
struct ColdStart {
  bool starts_cold = false;
  std::uint32_t cold_slots = 1;  ///< work in progress that it bears while cold
  state::Duration warm_up = state::Milliseconds(5'000);
  std::uint64_t fall_factor = 50;  ///< slowness after bearing too much
  state::Duration fall_time = state::Milliseconds(1'000);
};

/// \brief Which index versions a stand-in keeps.
struct SnapshotPolicy {
  std::uint64_t newest = 1;    ///< used unless the versions advance
  std::uint64_t kept = 3;      ///< versions that it can still serve
  state::Duration advance{0};  ///< time between versions; 0 for none
  state::Duration lag{0};      ///< how late it takes a version over
};

/// \brief Everything about one stand-in that a test can set.
struct BackendBehaviour {
  std::string id = "server";
  std::string domain;
  std::uint16_t port = 0;
  std::uint32_t slots = 2;
  std::uint32_t max_queue = 64;  ///< sheds beyond this many waiting
  std::size_t max_connections = 1024;
  state::Duration connect_cost{0};
  state::Duration cross_domain_latency{0};  ///< one way, other domains' hosts
  std::uint64_t key_stride = 100;  ///< keys at multiples of this have records
  std::uint64_t seed = 1;
  ServiceTime service_time;
  ColdStart cold_start;
  SnapshotPolicy snapshots;
  std::vector<HeldShard> shards;  ///< empty: holds every shard
  bool draining = false;
  state::Duration drain_lag{0};   ///< reports it this late
  state::Duration report_lag{0};  ///< its load and health lag by this
  bool claims_warm = false;       ///< says that it is warm, always
};

/// \brief Changes the members of `behaviour` that `value` names.
/// \returns the first error, if there is one; some members may be changed
std::optional<protocol::ProtocolError> ApplyBehaviour(
    const nlohmann::json& value, BackendBehaviour& behaviour);

}  // namespace banyanknot::standins

#endif  // BANYANKNOT_STANDINS_BACKEND_BEHAVIOUR_H_
