#ifndef BANYANKNOT_PROTOCOL_PLATFORM_CODEC_H_
#define BANYANKNOT_PROTOCOL_PLATFORM_CODEC_H_

#include <string>
#include <vector>

#include "banyanknot/coordination/configuration_source.h"
#include "banyanknot/protocol/protocol_error.h"
#include "banyanknot/state/host_record.h"
#include "banyanknot/state/result.h"

namespace banyanknot::protocol {

/// \brief Path of the platform's catalogue; `?since=R` and `&wait_ms=T` watch.
inline constexpr const char* kEntriesPath = "/v1/entries";
/// \brief Path of the platform's host list.
inline constexpr const char* kHostsPath = "/v1/hosts";

std::string EncodeUpdate(const coordination::RawUpdate& update);
state::Result<coordination::RawUpdate, ProtocolError> DecodeUpdate(
    const std::string& body);

std::string EncodeHostList(const std::vector<state::ListedHost>& hosts);
state::Result<std::vector<state::ListedHost>, ProtocolError> DecodeHostList(
    const std::string& body);

}  // namespace banyanknot::protocol

#endif  // BANYANKNOT_PROTOCOL_PLATFORM_CODEC_H_
