#include "relay_front_service.h"

#include <string>
#include <utility>

#include "banyanknot/coordination/routing/relay_deadlines.h"

namespace banyanknot::daemons {

RelayFrontService::RelayFrontService(const coordination::Clock& clock,
                                     const protocol::RelayCodec& codec,
                                     const coordination::Readiness& readiness,
                                     coordination::RelayRunner& runner)
    : clock(clock), codec(codec), readiness(readiness), runner(runner) {}

void RelayFrontService::Handle(
    std::shared_ptr<transport::HttpExchange> exchange) {
  state::RelayRequest request =
      this->codec.DecodeRequest(exchange->Request(), this->clock.Now());
  request.outside_time =
      coordination::RelayDeadlines::OutsideTime(exchange->Connection());
  const std::string id = request.id;
  const std::uint64_t run_number = this->runner.Run(
      std::move(request),
      [this, exchange, id](const coordination::RelayAnswer& answer) {
        protocol::HttpResponse response = this->codec.EncodeAnswer(answer, id);
        // The caller can reach another host only over a new connection.
        response.closes_connection =
            answer.outcome == state::RelayOutcome::kNotRun &&
            !this->readiness.IsReady();
        exchange->Respond(std::move(response));
      });
  if (run_number == coordination::RelayRunner::kNoRun) return;
  exchange->OnClosed([this, run_number] { this->runner.Cancel(run_number); });
}

}  // namespace banyanknot::daemons
