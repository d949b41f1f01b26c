#ifndef BANYANKNOT_STATE_CATALOGUE_H_
#define BANYANKNOT_STATE_CATALOGUE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "banyanknot/state/domain_state.h"
#include "banyanknot/state/endpoint.h"
#include "banyanknot/state/identifier.h"
#include "banyanknot/state/key_range.h"
#include "banyanknot/state/service_class.h"
#include "banyanknot/state/util/time.h"

namespace banyanknot::state {

/// \brief A backend server as declared by its operators.
struct ServerEntry {
  ServerId id;
  FailureDomainId domain;
  Endpoint endpoint;
  std::uint32_t slots = 1;         ///< max concurrent sub-requests when warm
  std::uint32_t connections = 25;  ///< max connections from all hosts
  std::uint32_t cold_slots = 1;    ///< max concurrent sub-requests when cold
  Duration warm_up = Milliseconds(10'000);  ///< time from start to warm
};

/// \brief A shard: a key range and the servers that each replicate all of it.
struct ShardEntry {
  std::uint32_t id = 0;
  KeyRange range;
  std::vector<ServerId> replicas;
};

/// \brief Limits on the callers of one service.
struct ServiceLimits {
  std::uint32_t max_in_flight = 64;  ///< concurrent queries per host
  Duration default_deadline = Milliseconds(1'000);
  Duration max_deadline = Milliseconds(10'000);
  double min_coverage = 1.0;  ///< min answered fraction of the key space
};

/// \brief A service that callers can query.
struct ServiceEntry {
  ServiceId id;
  std::string owner;
  ServiceClass service_class = ServiceClass::kWhole;
  ServiceLimits limits;
  KeyRange key_space;
  std::vector<ShardEntry> shards;    ///< in key order; they tile key_space
  std::vector<ServerEntry> servers;  ///< every replica of every shard

  /// \brief Finds a server of this service; nullptr if there is none.
  const ServerEntry* FindServer(const ServerId& id) const;
};

/// \brief A failure domain and whether operators let it receive new work.
struct FailureDomainEntry {
  FailureDomainId id;
  std::string owner;
  std::string region;
  DomainState domain_state = DomainState::kIn;
};

/// \brief Fleet-wide policy settings.
struct FleetPolicy {
  std::string owner;
  double hedge_quantile = 0.95;  ///< reply-time quantile that starts a hedge
  double hedge_budget = 0.04;    ///< hedges as a share of sub-requests
  double retry_budget = 0.1;     ///< retries as a share of successes
  Duration leave_grace = Milliseconds(3'000);    ///< serving after not ready
  Duration stop_timeout = Milliseconds(30'000);  ///< max graceful shutdown
};

/// \brief What one catalogue entry declares.
using CatalogueContent =
    std::variant<ServiceEntry, FailureDomainEntry, FleetPolicy>;

/// \brief One catalogue entry at one revision.
///
/// A null content is a tombstone: the entry was deleted at that revision.
struct CatalogueRecord {
  std::string key;  ///< `service/ID`, `domain/ID` or `fleet`
  std::uint64_t revision = 0;
  std::uint64_t content_hash = 0;
  std::shared_ptr<const CatalogueContent> content;
  std::shared_ptr<const std::string> text;  ///< accepted JSON

  bool IsTombstone() const { return this->content == nullptr; }
};

/// \brief A host's version of one entry.
struct EntryVersion {
  std::string key;
  std::uint64_t revision = 0;
  std::uint64_t content_hash = 0;
};

}  // namespace banyanknot::state

#endif  // BANYANKNOT_STATE_CATALOGUE_H_
