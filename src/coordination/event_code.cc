#include "banyanknot/coordination/event_code.h"

#include "banyanknot/state/util/assert.h"

namespace banyanknot::coordination {

const EventDescription& DescriptionOf(EventCode code) {
  for (const EventDescription& description : kEventDescriptions) {
    if (description.code == code) return description;
  }
  BANYANKNOT_ASSERT(false, "add the event to kEventDescriptions");
  return kEventDescriptions[0];
}

}  // namespace banyanknot::coordination
