#include "host_service.h"

#include <utility>

#include "banyanknot/protocol/caller_codec.h"

namespace banyanknot::daemons {
namespace {

constexpr unsigned kHttpNotFound = 404;
constexpr unsigned kHttpUnavailable = 503;

}  // namespace

HostService::HostService(coordination::QueryExecutor& executor,
                         const coordination::CatalogueFollower& follower)
    : executor(executor), follower(follower) {}

void HostService::Handle(std::shared_ptr<transport::HttpExchange> exchange) {
  const protocol::HttpRequest& request = exchange->Request();
  if (request.method == "POST" && request.target == protocol::kQueryPath) {
    this->HandleQuery(exchange);
  } else if (request.target == "/live") {
    exchange->Respond({200, R"({"live":true})"});
  } else if (request.target == "/ready") {
    const bool is_ready = this->follower.HasRead();
    exchange->Respond({is_ready ? 200 : kHttpUnavailable,
                       is_ready ? R"({"ready":true})" : R"({"ready":false})"});
  } else {
    exchange->Respond({kHttpNotFound, R"({"error":"no such path"})"});
  }
}

void HostService::HandleQuery(
    const std::shared_ptr<transport::HttpExchange>& exchange) {
  const state::Result<state::Query, protocol::ProtocolError> query =
      protocol::DecodeQuery(exchange->Request().body);
  if (!state::IsOk(query)) {
    exchange->Respond(protocol::EncodeInvalid(state::ErrorOf(query)));
    return;
  }
  const state::RequestId id = this->executor.Run(
      state::ValueOf(query), [exchange](const state::Answer& answer) {
        exchange->Respond(protocol::EncodeAnswer(answer));
      });
  exchange->OnClosed([this, id] { this->executor.Cancel(id); });
}

}  // namespace banyanknot::daemons
