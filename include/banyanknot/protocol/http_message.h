#ifndef BANYANKNOT_PROTOCOL_HTTP_MESSAGE_H_
#define BANYANKNOT_PROTOCOL_HTTP_MESSAGE_H_

#include <string>
#include <vector>

#include "banyanknot/state/routing/header_field.h"
#include "banyanknot/state/util/time.h"

namespace banyanknot::protocol {

/// \brief A request, free of the library that read it.
struct HttpRequest {
  std::string method;
  std::string target;  ///< path and query part
  std::string body;
  /// As they came. One to send that has any is sent with just these and a
  /// length; otherwise the usual ones are added.
  std::vector<state::HeaderField> headers;
};

/// \brief A response, free of the library that writes it.
struct HttpResponse {
  unsigned status = 200;
  std::string body;
  std::string content_type = "application/json";  ///< none is sent if empty
  state::Duration retry_after{0};  ///< sent in whole seconds, rounded up
  std::vector<state::HeaderField> headers;  ///< beside those above
  bool closes_connection = false;  ///< even if the caller would keep it
};

}  // namespace banyanknot::protocol

#endif  // BANYANKNOT_PROTOCOL_HTTP_MESSAGE_H_
