#ifndef BANYANKNOT_CTL_REQUEST_TRACE_H_
#define BANYANKNOT_CTL_REQUEST_TRACE_H_

#include <string>
#include <string_view>
#include <vector>

#include "log_line.h"

namespace banyanknot::ctl {

/// \brief The log lines that concern one request, with explanations.
struct RequestTrace {
  /// Lines that name the request and lines on the state of its host and
  /// servers, in order of time.
  std::vector<LogLine> lines;
  /// Meaning of the reason or outcome, one for each line of the request that
  /// has one.
  std::vector<std::string> explanations;
};

/// \brief Collects the log lines that concern a request.
/// \param lines log lines of all hosts, in order of time
/// \returns a trace without lines if none names the request
RequestTrace FindRequestTrace(std::string_view request,
                              const std::vector<LogLine>& lines);

}  // namespace banyanknot::ctl

#endif  // BANYANKNOT_CTL_REQUEST_TRACE_H_
