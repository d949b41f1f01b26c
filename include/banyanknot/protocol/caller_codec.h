#ifndef BANYANKNOT_PROTOCOL_CALLER_CODEC_H_
#define BANYANKNOT_PROTOCOL_CALLER_CODEC_H_

#include <string>

#include "banyanknot/protocol/http_message.h"
#include "banyanknot/protocol/protocol_error.h"
#include "banyanknot/state/answer.h"
#include "banyanknot/state/result.h"

namespace banyanknot::protocol {

/// \brief Path at which callers send queries (POST).
inline constexpr const char* kQueryPath = "/v1/query";
/// \brief Maximum size of the body of a caller's request, in bytes.
inline constexpr std::size_t kMaxCallerRequestBytes = 256u << 10;

/// \brief Reads a query; its request body (`ask`) stays JSON text.
///
/// The deadline is the time left as the caller states it, 0 if it states none.
/// \returns the query, or the first error found
state::Result<state::Query, ProtocolError> DecodeQuery(const std::string& body);

/// \brief Writes the answer to a query, with the HTTP status of its outcome.
HttpResponse EncodeAnswer(const state::Answer& answer);

/// \brief Writes the reply to a message that can't be decoded: outcome
/// `invalid`, status 400, or 413 if the message is too large.
HttpResponse EncodeInvalid(const ProtocolError& error);

/// \brief Returns the HTTP status of an outcome.
unsigned HttpStatusOf(state::Outcome outcome);

}  // namespace banyanknot::protocol

#endif  // BANYANKNOT_PROTOCOL_CALLER_CODEC_H_
