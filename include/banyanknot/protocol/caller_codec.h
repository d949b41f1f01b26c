#ifndef BANYANKNOT_PROTOCOL_CALLER_CODEC_H_
#define BANYANKNOT_PROTOCOL_CALLER_CODEC_H_

#include <string>

#include "banyanknot/protocol/http_message.h"
#include "banyanknot/protocol/protocol_error.h"
#include "banyanknot/state/answer.h"
#include "banyanknot/state/result.h"

namespace banyanknot::protocol {

/// \brief Path to which callers post queries.
inline constexpr const char* kQueryPath = "/v1/query";
/// \brief Largest request that is read from a caller, in bytes.
inline constexpr std::size_t kMaxCallerRequestBytes = 256u << 10;

state::Result<state::Query, ProtocolError> DecodeQuery(const std::string& body);

/// \brief Writes an answer with the status that its outcome has in HTTP.
HttpResponse EncodeAnswer(const state::Answer& answer);

/// \brief Writes a refusal of a message that can't be read; outcome `invalid`.
HttpResponse EncodeInvalid(const ProtocolError& error);

/// \brief The HTTP status that stands for an outcome.
unsigned StatusOf(state::Outcome outcome);

}  // namespace banyanknot::protocol

#endif  // BANYANKNOT_PROTOCOL_CALLER_CODEC_H_
