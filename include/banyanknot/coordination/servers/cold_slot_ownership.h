#ifndef BANYANKNOT_COORDINATION_SERVERS_COLD_SLOT_OWNERSHIP_H_
#define BANYANKNOT_COORDINATION_SERVERS_COLD_SLOT_OWNERSHIP_H_

#include <cstdint>

#include "banyanknot/state/identifier.h"

namespace banyanknot::coordination {

/// \brief Divides the cold slots of each server among the hosts.
///
/// Thread-safe.
class ColdSlotOwnership {
 public:
  virtual ~ColdSlotOwnership() = default;

  /// \brief Returns how many of the server's cold slots this host may use now.
  /// \param cold_slots concurrency limit of the cold server over all hosts
  virtual std::uint32_t OwnedSlots(const state::ServerId& server,
                                   const state::FailureDomainId& domain,
                                   std::uint32_t cold_slots) = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_SERVERS_COLD_SLOT_OWNERSHIP_H_
