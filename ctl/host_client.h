#ifndef BANYANKNOT_CTL_HOST_CLIENT_H_
#define BANYANKNOT_CTL_HOST_CLIENT_H_

#include <string>

#include "banyanknot/protocol/http_message.h"
#include "banyanknot/state/endpoint.h"
#include "banyanknot/state/result.h"
#include "banyanknot/state/util/time.h"
#include "banyanknot/transport/transport_error.h"

namespace banyanknot::ctl {

using FetchResult =
    state::Result<protocol::HttpResponse, transport::TransportError>;

/// \brief Sends a request to a host and blocks until the response or an error.
class HostClient {
 public:
  virtual ~HostClient() = default;
  virtual FetchResult Fetch(const state::Endpoint& host,
                            const protocol::HttpRequest& request,
                            state::Duration timeout) = 0;
};

}  // namespace banyanknot::ctl

#endif  // BANYANKNOT_CTL_HOST_CLIENT_H_
