#ifndef BANYANKNOT_PROTOCOL_HTTP_MESSAGE_H_
#define BANYANKNOT_PROTOCOL_HTTP_MESSAGE_H_

#include <string>

#include "banyanknot/state/util/time.h"

namespace banyanknot::protocol {

/// \brief A request, free of the library that read it.
struct HttpRequest {
  std::string method;
  std::string target;  ///< path and query part
  std::string body;
};

/// \brief A response, free of the library that writes it.
struct HttpResponse {
  unsigned status = 200;
  std::string body;
  std::string content_type = "application/json";
  state::Duration retry_after{0};  ///< sent in whole seconds, rounded up
};

}  // namespace banyanknot::protocol

#endif  // BANYANKNOT_PROTOCOL_HTTP_MESSAGE_H_
