#ifndef BANYANKNOT_PROTOCOL_PLATFORM_CODEC_H_
#define BANYANKNOT_PROTOCOL_PLATFORM_CODEC_H_

#include <string>
#include <vector>

#include "banyanknot/coordination/configuration_source.h"
#include "banyanknot/protocol/protocol_error.h"
#include "banyanknot/state/host_record.h"
#include "banyanknot/state/result.h"

namespace banyanknot::protocol {

/// \brief Path of the platform's catalogue. With `?since=R&wait_ms=T`, the
/// reply waits up to T milliseconds for changes after revision R.
inline constexpr const char* kEntriesPath = "/v1/entries";
/// \brief Path of the platform's host list.
inline constexpr const char* kHostsPath = "/v1/hosts";

/// \brief Writes catalogue entries and the revision at which they were read.
std::string EncodeUpdate(const coordination::RawUpdate& update);
/// \brief Reads a list of catalogue entries; their texts stay undecoded.
/// \returns the update, or the first error found
state::Result<coordination::RawUpdate, ProtocolError> DecodeUpdate(
    const std::string& body);

/// \brief Writes the list of hosts.
std::string EncodeHostList(const std::vector<state::ListedHost>& hosts);
/// \returns the hosts, or the first error found
state::Result<std::vector<state::ListedHost>, ProtocolError> DecodeHostList(
    const std::string& body);

}  // namespace banyanknot::protocol

#endif  // BANYANKNOT_PROTOCOL_PLATFORM_CODEC_H_
