#ifndef BANYANKNOT_CTL_HTTP_HOST_CLIENT_H_
#define BANYANKNOT_CTL_HTTP_HOST_CLIENT_H_

#include "banyanknot/transport/io_threads.h"
#include "banyanknot/transport/steady_clock.h"
#include "host_client.h"

namespace banyanknot::ctl {

/// \brief HostClient over HTTP, with a new connection for each request.
class HttpHostClient : public HostClient {
 public:
  HttpHostClient();
  FetchResult Fetch(const state::Endpoint& host,
                    const protocol::HttpRequest& request,
                    state::Duration timeout) override;

 private:
  transport::SteadyClock clock;
  transport::IoThreads threads;
};

}  // namespace banyanknot::ctl

#endif  // BANYANKNOT_CTL_HTTP_HOST_CLIENT_H_
