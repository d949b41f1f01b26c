#include "relay_front_service.h"

#include <string>
#include <utility>

namespace banyanknot::daemons {

RelayFrontService::RelayFrontService(const coordination::Clock& clock,
                                     const protocol::RelayCodec& codec,
                                     coordination::RelayExecutor& executor)
    : clock(clock), codec(codec), executor(executor) {}

void RelayFrontService::Handle(
    std::shared_ptr<transport::HttpExchange> exchange) {
  state::RelayRequest request =
      this->codec.DecodeRequest(exchange->Request(), this->clock.Now());
  const std::string id = request.id;
  const std::uint64_t number = this->executor.Run(
      std::move(request),
      [this, exchange, id](const coordination::RelayAnswer& answer) {
        exchange->Respond(this->codec.EncodeAnswer(answer, id));
      });
  if (number == coordination::RelayExecutor::kNoRun) return;
  exchange->OnClosed([this, number] { this->executor.Cancel(number); });
}

}  // namespace banyanknot::daemons
