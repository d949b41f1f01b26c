#ifndef BANYANKNOT_STATE_ROUTING_ROUTE_H_
#define BANYANKNOT_STATE_ROUTING_ROUTE_H_

#include <cstddef>
#include <string>
#include <vector>

#include "banyanknot/state/identifier.h"
#include "banyanknot/state/util/time.h"

namespace banyanknot::state {

/// \brief One of the services that share a route's requests.
struct WeightedService {
  ServiceId service;
  double weight = 1;  ///< share of the requests, relative to the others'
};

/// \brief Which requests a route takes and how they are served.
///
/// Either `split` or `shards` is filled: a relayed request goes to one service
/// of `split`; a gathered one to every service of `shards`.
struct Route {
  std::string name;
  std::string host;    ///< lower case, without a port
  std::string prefix;  ///< begins and ends with a slash
  std::vector<WeightedService> split;
  std::vector<ServiceId> shards;
  std::size_t top_k = 0;         ///< most records of a gathered answer
  double min_coverage = 1;       ///< least share of the shards in an answer
  bool is_idempotent = false;    ///< may run more than once
  std::size_t max_attempts = 1;  ///< servers that one request may reach, each
                                 ///< shard counted by itself
  Duration timeout = Milliseconds(1'000);    ///< longest wait for an answer
  Duration objective = Milliseconds(1'000);  ///< an answer is late after this
  unsigned priority = 0;                     ///< 0 is the most urgent

  bool IsGather() const { return !this->shards.empty(); }
};

/// \brief What all servers of a service have in common.
struct ServiceSpec {
  ServiceId id;
  std::string health_path;
  std::size_t max_connections = 1;  ///< a server's, from all hosts together
  Duration warm_up{0};              ///< a server is cold so long after a start
  double cold_rate = 0;  ///< requests a second that a cold server bears
};

/// \brief What callers may send and how long they may take.
struct CallerLimits {
  std::size_t max_header_bytes = 16u << 10;
  std::size_t max_body_bytes = 1u << 20;
  Duration header_timeout = Milliseconds(10'000);
  Duration idle_timeout = Milliseconds(60'000);
};

}  // namespace banyanknot::state

#endif  // BANYANKNOT_STATE_ROUTING_ROUTE_H_
