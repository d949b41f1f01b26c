#include "host_service.h"

#include <optional>
#include <utility>

#include "banyanknot/protocol/caller_codec.h"

namespace banyanknot::daemons {
namespace {

constexpr unsigned kHttpNotFound = 404;
constexpr unsigned kHttpMethodNotAllowed = 405;

}  // namespace

HostService::HostService(const coordination::Clock& clock,
                         coordination::QueryExecutor& executor,
                         coordination::QueryMetrics& metrics,
                         const OperatorService& operators,
                         ActionService& actions)
    : clock(clock),
      executor(executor),
      metrics(metrics),
      operators(operators),
      actions(actions) {}

void HostService::Handle(std::shared_ptr<transport::HttpExchange> exchange) {
  const protocol::HttpRequest& request = exchange->Request();
  if (request.method == "POST") {
    this->HandlePost(exchange);
    return;
  }
  if (request.method != "GET") {
    exchange->Respond(
        {kHttpMethodNotAllowed, R"({"error":"use GET or POST"})"});
    return;
  }
  std::optional<protocol::HttpResponse> response =
      this->operators.HandleGet(request.target);
  exchange->Respond(response
                        ? std::move(*response)
                        : protocol::HttpResponse{
                              kHttpNotFound, R"({"error":"no such path"})"});
}

void HostService::HandlePost(
    const std::shared_ptr<transport::HttpExchange>& exchange) {
  if (exchange->Request().target == protocol::kQueryPath) {
    this->HandleQuery(exchange);
  } else if (!this->actions.Handle(exchange)) {
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
  const state::TimePoint started_at = this->clock.Now();
  const state::RequestId id = this->executor.Run(
      state::ValueOf(query),
      [this, exchange, started_at](const state::Answer& answer) {
        this->metrics.RecordAnswer(answer, this->clock.Now() - started_at);
        exchange->Respond(protocol::EncodeAnswer(answer));
      });
  exchange->OnClosed([this, id] { this->executor.Cancel(id); });
}

}  // namespace banyanknot::daemons
