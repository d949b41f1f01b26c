#include "action_service.h"

#include "banyanknot/protocol/action_codec.h"
#include "banyanknot/protocol/caller_codec.h"

namespace banyanknot::daemons {

ActionService::ActionService(const coordination::TicketTable& tickets,
                             coordination::ActionExecutor& executor,
                             coordination::ActionForwarder& forwarder,
                             coordination::ActionMetrics& metrics)
    : tickets(tickets),
      executor(executor),
      forwarder(forwarder),
      metrics(metrics) {}

bool ActionService::Handle(
    const std::shared_ptr<transport::HttpExchange>& exchange) {
  const std::string& target = exchange->Request().target;
  if (target == protocol::kTicketsPath) {
    this->HandleTicket(exchange);
    return true;
  }
  if (target == protocol::kActionsPath) {
    this->HandleAction(exchange);
    return true;
  }
  return false;
}

void ActionService::HandleTicket(
    const std::shared_ptr<transport::HttpExchange>& exchange) {
  const state::Result<protocol::TicketRequest, protocol::ProtocolError>
      request = protocol::DecodeTicketRequest(exchange->Request().body);
  if (!state::IsOk(request)) {
    exchange->Respond(protocol::EncodeInvalid(state::ErrorOf(request)));
    return;
  }
  const coordination::TicketResult ticket = this->executor.IssueTicket(
      state::ValueOf(request).service, state::ValueOf(request).key);
  if (!state::IsOk(ticket)) {
    exchange->Respond(protocol::EncodeActionReply(state::ErrorOf(ticket)));
    return;
  }
  this->metrics.RecordTicket();
  exchange->Respond(protocol::EncodeTicket(state::ValueOf(ticket),
                                           this->tickets.Limits().lifetime));
}

void ActionService::HandleAction(
    const std::shared_ptr<transport::HttpExchange>& exchange) {
  const state::Result<state::Action, protocol::ProtocolError> action =
      protocol::DecodeAction(exchange->Request().body);
  if (!state::IsOk(action)) {
    this->metrics.RecordOutcome(state::Outcome::kInvalid);
    exchange->Respond(protocol::EncodeInvalid(state::ErrorOf(action)));
    return;
  }
  this->forwarder.Run(state::ValueOf(action),
                      [this, exchange](const state::ActionReply& reply) {
                        this->metrics.RecordOutcome(reply.outcome);
                        exchange->Respond(protocol::EncodeActionReply(reply));
                      });
}

}  // namespace banyanknot::daemons
