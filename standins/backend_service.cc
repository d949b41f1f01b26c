#include "backend_service.h"

#include <utility>

#include "banyanknot/protocol/backend_codec.h"
#include "banyanknot/protocol/caller_codec.h"

namespace banyanknot::standins {

std::string ExpectedValue(std::uint64_t key, std::uint64_t snapshot) {
  return "\"" + std::to_string(key) + "@" + std::to_string(snapshot) + "\"";
}

BackendService::BackendService(const coordination::Clock& clock,
                               coordination::TimerService& timers,
                               BackendBehaviour behaviour)
    : clock(clock), timers(timers), behaviour(std::move(behaviour)) {}

void BackendService::Handle(std::shared_ptr<transport::HttpExchange> exchange) {
  const std::string& target = exchange->Request().target;
  if (target == protocol::kSubRequestPath) {
    this->HandleSubRequest(exchange);
  } else if (target == protocol::kHealthPath) {
    exchange->Respond({200, protocol::EncodeServerReport(this->Report())});
  } else if (target == protocol::kCancelPath) {
    exchange->Respond({200, "{}"});
  } else {
    exchange->Respond({404, "{}"});
  }
}

state::ServerReport BackendService::Report() const {
  state::ServerReport report;
  report.instance = state::InstanceId(this->behaviour.instance);
  report.running = this->running;
  report.warm = true;
  report.oldest_snapshot = this->behaviour.snapshot;
  report.newest_snapshot = this->behaviour.snapshot;
  return report;
}

void BackendService::HandleSubRequest(
    const std::shared_ptr<transport::HttpExchange>& exchange) {
  const state::Result<state::SubRequest, protocol::ProtocolError> request =
      protocol::DecodeSubRequest(exchange->Request().body, this->clock.Now());
  if (!state::IsOk(request)) {
    exchange->Respond(protocol::EncodeInvalid(state::ErrorOf(request)));
    return;
  }
  ++this->running;
  this->timers.RunAt(this->clock.Now() + this->behaviour.service_time,
                     [this, exchange, request = state::ValueOf(request)] {
                       --this->running;
                       exchange->Respond({200, protocol::EncodeSubReply(
                                                   this->MakeReply(request))});
                     });
}

state::SubReply BackendService::MakeReply(
    const state::SubRequest& request) const {
  state::SubReply reply;
  reply.request = request.request;
  reply.attempt = request.attempt;
  reply.shard = request.shard;
  reply.snapshot = this->behaviour.snapshot;
  reply.covered = request.range;
  reply.status = state::ReplyStatus::kOk;
  reply.report = this->Report();
  const std::uint64_t stride = this->behaviour.key_stride;
  const std::uint64_t first = (request.range.begin + stride - 1) / stride;
  for (std::uint64_t key = first * stride; key < request.range.end;
       key += stride) {
    reply.records.push_back({key, ExpectedValue(key, reply.snapshot)});
  }
  return reply;
}

}  // namespace banyanknot::standins
