#include "http_host_client.h"

#include <future>
#include <memory>

#include "banyanknot/transport/http_connection_pool.h"

namespace banyanknot::ctl {

HttpHostClient::HttpHostClient() : threads(1) {}

FetchResult HttpHostClient::Fetch(const state::Endpoint& host,
                                  const protocol::HttpRequest& request,
                                  state::Duration timeout) {
  transport::HttpConnectionPool pool(this->threads.Context(), this->clock, host,
                                     1);
  transport::HttpCall call(transport::AcceptAnyResponse);
  call.request = request;
  call.deadline = this->clock.Now() + timeout;
  call.send_before = call.deadline;
  const std::shared_ptr<std::promise<FetchResult>> promise =
      std::make_shared<std::promise<FetchResult>>();
  pool.Call(call, [promise](const transport::HttpCallResult& result) {
    promise->set_value(result);
  });
  return promise->get_future().get();
}

}  // namespace banyanknot::ctl
