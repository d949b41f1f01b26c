#ifndef BANYANKNOT_PROTOCOL_HTTP_MESSAGE_H_
#define BANYANKNOT_PROTOCOL_HTTP_MESSAGE_H_

#include <string>
#include <vector>

#include "banyanknot/state/routing/header_field.h"
#include "banyanknot/state/util/time.h"

namespace banyanknot::protocol {

/// \brief An HTTP request, independent of the HTTP library.
struct HttpRequest {
  std::string method;
  std::string target;  ///< path and query
  std::string body;
  /// In the order received. An outgoing request with headers is sent with just
  /// these and Content-Length; one without gets the default headers.
  std::vector<state::HeaderField> headers;
};

/// \brief An HTTP response, independent of the HTTP library.
struct HttpResponse {
  unsigned status = 200;
  std::string body;
  std::string content_type = "application/json";  ///< not sent if empty
  state::Duration retry_after{0};  ///< sent in whole seconds, rounded up
  std::vector<state::HeaderField> headers;  ///< beside the above
  bool closes_connection = false;  ///< even if the caller asks for keep-alive
};

}  // namespace banyanknot::protocol

#endif  // BANYANKNOT_PROTOCOL_HTTP_MESSAGE_H_
