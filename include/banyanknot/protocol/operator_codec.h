#ifndef BANYANKNOT_PROTOCOL_OPERATOR_CODEC_H_
#define BANYANKNOT_PROTOCOL_OPERATOR_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "banyanknot/coordination/audit_trail.h"
#include "banyanknot/protocol/http_message.h"
#include "banyanknot/state/catalogue.h"
#include "banyanknot/state/host_record.h"
#include "banyanknot/state/server_record.h"

namespace banyanknot::protocol {

/// \brief Paths of the endpoints for operators and health checks.
inline constexpr const char* kStatusPath = "/status";
inline constexpr const char* kAuditPath = "/audit";
inline constexpr const char* kExplainPath = "/explain";
inline constexpr const char* kReadyPath = "/ready";
inline constexpr const char* kLivePath = "/live";

/// \brief A backend server in a host's view.
struct ServerStatus {
  state::ServerId id;
  state::ServerRecord record;
};

/// \brief State of a host, as shown at kStatusPath.
struct StatusReport {
  state::HostIdentity identity;
  std::string version;
  state::Duration uptime{0};
  bool is_ready = false;
  std::size_t queries_in_flight = 0;
  std::vector<state::CatalogueRecord> catalogue;
  std::vector<state::HostRecord> hosts;
  std::vector<ServerStatus> servers;
};

HttpResponse EncodeStatus(const StatusReport& report);

/// \brief Writes audit records, oldest first.
HttpResponse EncodeAudit(const std::vector<coordination::AuditRecord>& records);

/// \brief A replica of a shard, with the state that decides whether it may get
/// new work.
struct ReplicaExplanation {
  state::ServerEntry server;
  state::DomainState domain_state = state::DomainState::kIn;
  state::ServerRecord record;
};

/// \brief A shard and the replicas that its sub-requests may be sent to.
struct ShardExplanation {
  std::uint32_t shard = 0;
  state::KeyRange range;
  std::vector<ReplicaExplanation> replicas;
};

HttpResponse EncodeExplanation(const state::ServiceEntry& service,
                               const std::vector<ShardExplanation>& shards);

}  // namespace banyanknot::protocol

#endif  // BANYANKNOT_PROTOCOL_OPERATOR_CODEC_H_
