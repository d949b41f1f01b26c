#ifndef BANYANKNOT_PROTOCOL_BACKEND_CODEC_H_
#define BANYANKNOT_PROTOCOL_BACKEND_CODEC_H_

#include <string>

#include "banyanknot/protocol/protocol_error.h"
#include "banyanknot/state/result.h"
#include "banyanknot/state/sub_request.h"

namespace banyanknot::protocol {

/// \brief Path of a backend server for sub-requests (POST).
inline constexpr const char* kSubRequestPath = "/v1/sub";
/// \brief Path of a backend server for cancellations (POST).
inline constexpr const char* kCancelPath = "/v1/cancel";
/// \brief Path at which a backend server reports its health and load.
inline constexpr const char* kHealthPath = "/v1/health";
/// \brief Maximum size of a reply of a backend server, in bytes.
inline constexpr std::size_t kMaxSubReplyBytes = 16u << 20;
/// \brief Maximum size of a server's report of its health and load, in bytes.
inline constexpr std::size_t kMaxServerReportBytes = 1u << 20;

/// \brief Writes a sub-request for a backend server.
/// \param remaining time left until the deadline, sent in its place
std::string EncodeSubRequest(const state::SubRequest& request,
                             state::Duration remaining);

/// \brief Reads a sub-request; its deadline is `now` plus the remaining time.
/// \returns the sub-request, or the first error found
state::Result<state::SubRequest, ProtocolError> DecodeSubRequest(
    const std::string& body, state::TimePoint now);

std::string EncodeSubReply(const state::SubReply& reply);
/// \returns the reply, or the first error found
state::Result<state::SubReply, ProtocolError> DecodeSubReply(
    const std::string& body);

/// \brief Writes the cancellation of one attempt of a sub-request.
std::string EncodeCancel(const state::SubRequest& request);

std::string EncodeServerReport(const state::ServerReport& report);
/// \returns the report, or the first error found
state::Result<state::ServerReport, ProtocolError> DecodeServerReport(
    const std::string& body);

}  // namespace banyanknot::protocol

#endif  // BANYANKNOT_PROTOCOL_BACKEND_CODEC_H_
