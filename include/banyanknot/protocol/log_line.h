#ifndef BANYANKNOT_PROTOCOL_LOG_LINE_H_
#define BANYANKNOT_PROTOCOL_LOG_LINE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "banyanknot/coordination/event_log.h"

namespace banyanknot::protocol {

/// \brief Formats an event as text: time, severity, number, name and fields as
/// `name=value`.
///
/// The result has no line break; values are quoted as JSON strings.
/// \param unix_ms time of the event, in milliseconds since the Unix epoch
std::string EncodeTextLogLine(
    std::int64_t unix_ms, const coordination::EventDescription& event,
    const std::vector<coordination::LogField>& fields);

/// \brief Formats an event as one JSON object without line breaks.
/// \param unix_ms time of the event, in milliseconds since the Unix epoch
std::string EncodeJsonLogLine(
    std::int64_t unix_ms, const coordination::EventDescription& event,
    const std::vector<coordination::LogField>& fields);

}  // namespace banyanknot::protocol

#endif  // BANYANKNOT_PROTOCOL_LOG_LINE_H_
