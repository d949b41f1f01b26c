#ifndef BANYANKNOT_COORDINATION_SERVERS_REPORTED_SLOT_LIMITER_H_
#define BANYANKNOT_COORDINATION_SERVERS_REPORTED_SLOT_LIMITER_H_

#include "banyanknot/coordination/servers/slot_limiter.h"

namespace banyanknot::coordination {

/// \brief Bounds of a ReportedSlotLimiter.
struct SlotLimits {
  /// Work in progress that a server is given, as a multiple of its slots; what
  /// exceeds the slots waits at the server and keeps it busy.
  std::uint32_t depth = 3;
  /// A report older than this is not used.
  state::Duration report_validity = state::Milliseconds(1'000);
  /// What each host may have in flight whatever the others do.
  std::uint32_t min_in_flight = 2;
};

/// \brief Leaves each host what the others do not use, as the server reports.
///
/// No fixed share: a host that gets most of the load may fill the server. The
/// reports lag, so all hosts together may exceed the depth for about as long
/// as a reply takes.
class ReportedSlotLimiter : public SlotLimiter {
 public:
  explicit ReportedSlotLimiter(SlotLimits limits) : limits(limits) {}
  std::uint32_t Limit(const state::ServerRecord& record,
                      state::TimePoint now) const override;

 private:
  const SlotLimits limits;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_SERVERS_REPORTED_SLOT_LIMITER_H_
