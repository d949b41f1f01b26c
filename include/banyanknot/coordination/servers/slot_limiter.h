#ifndef BANYANKNOT_COORDINATION_SERVERS_SLOT_LIMITER_H_
#define BANYANKNOT_COORDINATION_SERVERS_SLOT_LIMITER_H_

#include <cstdint>

#include "banyanknot/state/server_record.h"

namespace banyanknot::coordination {

/// \brief Limits the sub-requests that this host has in flight at a server.
///
/// Thread-safe, without side effects; the caller holds the record's lock.
class SlotLimiter {
 public:
  virtual ~SlotLimiter() = default;

  /// \brief Returns this host's limit of sub-requests in flight at a warm
  /// server.
  virtual std::uint32_t Limit(const state::ServerRecord& record,
                              state::TimePoint now) const = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_SERVERS_SLOT_LIMITER_H_
