#ifndef BANYANKNOT_STATE_SUB_REQUEST_H_
#define BANYANKNOT_STATE_SUB_REQUEST_H_

#include <cstdint>
#include <string>
#include <vector>

#include "banyanknot/state/answer.h"
#include "banyanknot/state/endpoint.h"
#include "banyanknot/state/identifier.h"
#include "banyanknot/state/key_range.h"
#include "banyanknot/state/reply_status.h"
#include "banyanknot/state/request_id.h"
#include "banyanknot/state/util/time.h"

namespace banyanknot::state {

/// \brief One attempt to query one shard on one backend server.
struct SubRequest {
  RequestId request;
  std::uint32_t attempt = 0;  ///< unique within the request
  ServiceId service;
  std::uint32_t shard = 0;
  std::uint64_t snapshot = 0;  ///< 0 for the server's newest
  KeyRange range;
  ServerId server;
  Endpoint endpoint;
  std::string ask;
  bool is_idempotent = true;  ///< false: at most one may ever reach a server
  TimePoint deadline;         ///< transmitted as remaining time
  TimePoint send_before;      ///< must not be written after this time
};

/// \brief Load and state as reported by a backend server.
struct ServerReport {
  InstanceId instance;
  std::uint32_t running = 0;  ///< sub-requests that hold a slot
  std::uint32_t queued = 0;
  bool warm = false;  ///< self-reported; may be wrong
  bool leaving = false;
  std::uint64_t oldest_snapshot = 0;
  std::uint64_t newest_snapshot = 0;
};

/// \brief A backend server's reply to one sub-request.
struct SubReply {
  RequestId request;
  std::uint32_t attempt = 0;
  std::uint32_t shard = 0;
  std::uint64_t snapshot = 0;
  KeyRange covered;  ///< range for which the records are complete
  ReplyStatus status = ReplyStatus::kFailed;
  ServerReport report;
  std::vector<Record> records;
};

}  // namespace banyanknot::state

#endif  // BANYANKNOT_STATE_SUB_REQUEST_H_
