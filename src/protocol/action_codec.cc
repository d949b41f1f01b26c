#include "banyanknot/protocol/action_codec.h"

#include <limits>
#include <optional>
#include <utility>

#include "banyanknot/protocol/caller_codec.h"
#include "banyanknot/protocol/json_reader.h"

namespace banyanknot::protocol {
namespace {

using nlohmann::json;

constexpr std::uint64_t kMaxUint64 = std::numeric_limits<std::uint64_t>::max();

}  // namespace

state::Result<TicketRequest, ProtocolError> DecodeTicketRequest(
    const std::string& body) {
  const state::Result<json, ProtocolError> parsed =
      ParseJson(body, kMaxCallerRequestBytes);
  if (!state::IsOk(parsed)) return state::ErrorOf(parsed);
  JsonReader reader(state::ValueOf(parsed), "");
  TicketRequest request;
  request.service = state::ServiceId(reader.String("service"));
  request.key = reader.Unsigned("key", kMaxUint64);
  if (reader.Error()) return *reader.Error();
  return request;
}

HttpResponse EncodeTicket(const state::Ticket& ticket,
                          state::Duration lifetime) {
  const json message = {{"ticket", ToText(ticket)},
                        {"valid_ms", state::ToMilliseconds(lifetime)}};
  HttpResponse response;
  response.body = message.dump();
  return response;
}

state::Result<state::Action, ProtocolError> DecodeAction(
    const std::string& body) {
  const state::Result<json, ProtocolError> parsed =
      ParseJson(body, kMaxCallerRequestBytes);
  if (!state::IsOk(parsed)) return state::ErrorOf(parsed);
  JsonReader reader(state::ValueOf(parsed), "");
  const std::optional<state::Ticket> ticket =
      state::TicketFromText(reader.String("ticket"));
  if (!ticket) {
    reader.Fail(ProtocolErrorCode::kMalformed, "ticket", "is no ticket");
  }
  state::Action action;
  action.service = state::ServiceId(reader.String("service"));
  action.key = reader.Unsigned("key", kMaxUint64);
  action.deadline = reader.MillisecondsOr("deadline_ms", state::Duration(0));
  action.ask = reader.AnyOrNull("ask").dump();
  if (reader.Error()) return *reader.Error();
  action.ticket = *ticket;
  return action;
}

HttpResponse EncodeActionReply(const state::ActionReply& reply) {
  json message = {{"outcome", std::string(NameOf(reply.outcome))}};
  if (!reply.reason.empty()) message["reason"] = reply.reason;
  json records = json::array();
  for (const state::Record& record : reply.records) {
    records.push_back({record.key, json::parse(record.value, nullptr, false)});
  }
  message["records"] = std::move(records);
  HttpResponse response;
  response.status = HttpStatusOf(reply.outcome);
  response.body = message.dump();
  response.retry_after = reply.retry_after;
  return response;
}

}  // namespace banyanknot::protocol
