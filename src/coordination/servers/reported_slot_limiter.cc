#include "banyanknot/coordination/servers/reported_slot_limiter.h"

#include <algorithm>

namespace banyanknot::coordination {

std::uint32_t ReportedSlotLimiter::Limit(const state::ServerRecord& record,
                                         state::TimePoint now) const {
  const std::uint32_t depth = record.limits.slots * this->limits.depth;
  const bool is_fresh =
      now - record.reported_at <= this->limits.report_validity;
  const std::uint32_t others = is_fresh ? record.others_in_flight : 0;
  const std::uint32_t left = depth > others ? depth - others : 0;
  return std::max(left, this->limits.min_in_flight);
}

}  // namespace banyanknot::coordination
