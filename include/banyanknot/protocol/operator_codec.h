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

/// \brief Paths that operators read.
inline constexpr const char* kStatusPath = "/status";
inline constexpr const char* kAuditPath = "/audit";
inline constexpr const char* kExplainPath = "/explain";
inline constexpr const char* kReadyPath = "/ready";
inline constexpr const char* kLivePath = "/live";

/// \brief One backend server, as a host sees it.
struct ServerStatus {
  state::ServerId id;
  state::ServerRecord record;
};

/// \brief What a host shows of itself under /status.
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

/// \brief One replica of a shard, and whether it may get new work now.
struct ReplicaExplanation {
  state::ServerEntry server;
  state::DomainState domain_state = state::DomainState::kIn;
  state::ServerRecord record;
};

/// \brief Where the sub-requests for one shard may go.
struct ShardExplanation {
  std::uint32_t shard = 0;
  state::KeyRange range;
  std::vector<ReplicaExplanation> replicas;
};

HttpResponse EncodeExplanation(const state::ServiceEntry& service,
                               const std::vector<ShardExplanation>& shards);

}  // namespace banyanknot::protocol

#endif  // BANYANKNOT_PROTOCOL_OPERATOR_CODEC_H_
