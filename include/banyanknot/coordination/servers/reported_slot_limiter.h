#ifndef BANYANKNOT_COORDINATION_SERVERS_REPORTED_SLOT_LIMITER_H_
#define BANYANKNOT_COORDINATION_SERVERS_REPORTED_SLOT_LIMITER_H_

#include "banyanknot/coordination/servers/slot_limiter.h"

namespace banyanknot::coordination {

/// \brief Limits of a ReportedSlotLimiter.
struct SlotLimits {
  /// Limit on requests in progress at a server, as a multiple of its slots; the
  /// excess queues at the server and keeps it busy.
  std::uint32_t depth = 3;
  /// Older load reports are ignored.
  state::Duration report_validity = state::Milliseconds(1'000);
  /// Sub-requests that each host may have in flight whatever the others use.
  std::uint32_t min_in_flight = 2;
};

/// \brief Limits a host to the capacity that others leave, by the server's load
/// report.
///
/// There is no fixed share: a host that gets most of the load may fill the
/// server. Reports lag, so all hosts together may exceed the depth for about
/// the duration of one reply.
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
