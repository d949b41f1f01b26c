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
  double weight = 1;  ///< relative share of the requests
};

/// \brief The requests that a route matches and how they are served.
///
/// Either `split` or `shards` is set: a relayed request goes to one service
/// of `split`; a gathered one to every service of `shards`.
struct Route {
  std::string name;
  std::string host;    ///< lower case, without a port
  std::string prefix;  ///< begins and ends with a slash
  std::vector<WeightedService> split;
  std::vector<ServiceId> shards;
  std::size_t top_k = 0;         ///< max records of a gathered answer
  double min_coverage = 1;       ///< min share of the shards in an answer
  bool is_idempotent = false;    ///< may run more than once
  std::size_t max_attempts = 1;  ///< max servers that one request may reach,
                                 ///< counted per shard
  Duration timeout = Milliseconds(1'000);    ///< max wait for an answer
  Duration objective = Milliseconds(1'000);  ///< later answers count as late
  unsigned priority = 0;                     ///< 0 is the most urgent
  bool needs_key = true;  ///< applies where workspaces are configured

  bool IsGather() const { return !this->shards.empty(); }
};

/// \brief Settings common to all servers of a service.
struct ServiceSpec {
  ServiceId id;
  std::string health_path;
  std::size_t max_connections = 1;  ///< per server, from all hosts
  Duration warm_up{0};              ///< how long a server is cold after a start
  double cold_rate = 0;  ///< max requests per second to a cold server
};

/// \brief Size and time limits for requests of callers.
struct CallerLimits {
  std::size_t max_header_bytes = 16u << 10;
  std::size_t max_body_bytes = 1u << 20;
  Duration header_timeout = Milliseconds(10'000);
  Duration idle_timeout = Milliseconds(60'000);
};

}  // namespace banyanknot::state

#endif  // BANYANKNOT_STATE_ROUTING_ROUTE_H_
