#ifndef BANYANKNOT_DAEMONS_FAILURE_LOGGER_H_
#define BANYANKNOT_DAEMONS_FAILURE_LOGGER_H_

#include <string>

#include "banyanknot/coordination/event_log.h"
#include "banyanknot/transport/io_threads.h"

namespace banyanknot::daemons {

/// \brief Returns a handler that logs handlers which ended with an exception.
/// \param log must outlive the handler
inline transport::IoThreads::FailureHandler MakeFailureLogger(
    coordination::EventLog& log) {
  return [&log](const std::string& what) {
    log.Write(coordination::EventCode::kHandlerFailed, {{"error", what}});
  };
}

}  // namespace banyanknot::daemons

#endif  // BANYANKNOT_DAEMONS_FAILURE_LOGGER_H_
