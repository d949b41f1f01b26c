#ifndef BANYANKNOT_PROTOCOL_ACTION_CODEC_H_
#define BANYANKNOT_PROTOCOL_ACTION_CODEC_H_

#include <cstdint>
#include <string>

#include "banyanknot/protocol/http_message.h"
#include "banyanknot/protocol/protocol_error.h"
#include "banyanknot/state/action.h"
#include "banyanknot/state/result.h"

namespace banyanknot::protocol {

/// \brief Path at which callers request tickets (POST).
inline constexpr const char* kTicketsPath = "/v1/tickets";
/// \brief Path at which callers send actions, which must not run twice (POST).
inline constexpr const char* kActionsPath = "/v1/actions";

/// \brief The service and key that a requested ticket is for.
struct TicketRequest {
  state::ServiceId service;
  std::uint64_t key = 0;
};

/// \brief Reads a ticket request.
/// \returns the request, or the first error found
state::Result<TicketRequest, ProtocolError> DecodeTicketRequest(
    const std::string& body);

/// \brief Writes a ticket as the reply to its request.
/// \param lifetime time left in which the ticket may be used
HttpResponse EncodeTicket(const state::Ticket& ticket,
                          state::Duration lifetime);

/// \brief Reads an action; its request body (`ask`) stays JSON text.
///
/// The deadline is the time left as the caller states it, 0 if it states none.
/// \returns the action, or the first error found
state::Result<state::Action, ProtocolError> DecodeAction(
    const std::string& body);

/// \brief Writes the reply to an action, with the HTTP status of its outcome.
HttpResponse EncodeActionReply(const state::ActionReply& reply);

}  // namespace banyanknot::protocol

#endif  // BANYANKNOT_PROTOCOL_ACTION_CODEC_H_
