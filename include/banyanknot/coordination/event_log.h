#ifndef BANYANKNOT_COORDINATION_EVENT_LOG_H_
#define BANYANKNOT_COORDINATION_EVENT_LOG_H_

#include <string>
#include <string_view>
#include <vector>

#include "banyanknot/coordination/event_code.h"

namespace banyanknot::coordination {

/// \brief One named value of a logged event.
struct LogField {
  std::string_view name;
  std::string value;
};

/// \brief Receives numbered events for the log.
///
/// Thread-safe.
class EventLog {
 public:
  virtual ~EventLog() = default;
  virtual void Write(EventCode code, const std::vector<LogField>& fields) = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_EVENT_LOG_H_
