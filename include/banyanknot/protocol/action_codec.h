#ifndef BANYANKNOT_PROTOCOL_ACTION_CODEC_H_
#define BANYANKNOT_PROTOCOL_ACTION_CODEC_H_

#include <cstdint>
#include <string>

#include "banyanknot/protocol/http_message.h"
#include "banyanknot/protocol/protocol_error.h"
#include "banyanknot/state/action.h"
#include "banyanknot/state/result.h"

namespace banyanknot::protocol {

/// \brief Path to which callers post for a ticket.
inline constexpr const char* kTicketsPath = "/v1/tickets";
/// \brief Path to which callers post requests that may not be repeated.
inline constexpr const char* kActionsPath = "/v1/actions";

/// \brief What a caller wants a ticket for.
struct TicketRequest {
  state::ServiceId service;
  std::uint64_t key = 0;
};

state::Result<TicketRequest, ProtocolError> DecodeTicketRequest(
    const std::string& body);

/// \param lifetime time until which it must be used
HttpResponse EncodeTicket(const state::Ticket& ticket,
                          state::Duration lifetime);

state::Result<state::Action, ProtocolError> DecodeAction(
    const std::string& body);

/// \brief Writes a reply with the status that its outcome has in HTTP.
HttpResponse EncodeActionReply(const state::ActionReply& reply);

}  // namespace banyanknot::protocol

#endif  // BANYANKNOT_PROTOCOL_ACTION_CODEC_H_
