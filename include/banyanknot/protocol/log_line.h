#ifndef BANYANKNOT_PROTOCOL_LOG_LINE_H_
#define BANYANKNOT_PROTOCOL_LOG_LINE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "banyanknot/coordination/event_log.h"

namespace banyanknot::protocol {

/// \brief Writes an event for people: time, number, name, `name=value`.
std::string EncodeTextLogLine(
    std::int64_t unix_ms, const coordination::EventDescription& event,
    const std::vector<coordination::LogField>& fields);

/// \brief Writes an event as one JSON object.
std::string EncodeJsonLogLine(
    std::int64_t unix_ms, const coordination::EventDescription& event,
    const std::vector<coordination::LogField>& fields);

}  // namespace banyanknot::protocol

#endif  // BANYANKNOT_PROTOCOL_LOG_LINE_H_
