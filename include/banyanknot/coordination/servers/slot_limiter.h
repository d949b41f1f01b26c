#ifndef BANYANKNOT_COORDINATION_SERVERS_SLOT_LIMITER_H_
#define BANYANKNOT_COORDINATION_SERVERS_SLOT_LIMITER_H_

#include <cstdint>

#include "banyanknot/state/server_record.h"

namespace banyanknot::coordination {

/// \brief Limits the sub-requests that this host has in flight at a server.
///
/// Pure: runs under the record's lock and calls nothing outside.
class SlotLimiter {
 public:
  virtual ~SlotLimiter() = default;

  /// \brief Most sub-requests that this host may have in flight at a warm
  /// server.
  virtual std::uint32_t Limit(const state::ServerRecord& record,
                              state::TimePoint now) const = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_SERVERS_SLOT_LIMITER_H_
