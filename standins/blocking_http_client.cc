#include "blocking_http_client.h"

#include <future>
#include <memory>
#include <utility>

namespace banyanknot::standins {

transport::HttpCallResult BlockingHttpClient::Call(
    const state::Endpoint& endpoint, const std::string& method,
    const std::string& target, const std::string& body) {
  transport::HttpConnectionPool pool(this->threads.Context(), this->clock,
                                     endpoint, 1);
  const std::shared_ptr<std::promise<transport::HttpCallResult>> promise =
      std::make_shared<std::promise<transport::HttpCallResult>>();
  std::future<transport::HttpCallResult> result = promise->get_future();
  transport::HttpCall call(transport::AcceptAnyResponse);
  call.request = {method, target, body};
  call.deadline = this->clock.Now() + this->timeout;
  call.send_before = call.deadline;
  pool.Call(std::move(call), [promise](transport::HttpCallResult outcome) {
    promise->set_value(std::move(outcome));
  });
  return result.get();
}

std::optional<nlohmann::json> BlockingHttpClient::CallForJson(
    const state::Endpoint& endpoint, const std::string& method,
    const std::string& target, const std::string& body) {
  constexpr unsigned kHttpOk = 200;
  const transport::HttpCallResult result =
      this->Call(endpoint, method, target, body);
  if (!state::IsOk(result)) return std::nullopt;
  if (state::ValueOf(result).status != kHttpOk) return std::nullopt;
  nlohmann::json parsed =
      nlohmann::json::parse(state::ValueOf(result).body, nullptr, false);
  if (parsed.is_discarded()) return std::nullopt;
  return parsed;
}

}  // namespace banyanknot::standins
