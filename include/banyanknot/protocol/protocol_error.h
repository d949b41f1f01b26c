#ifndef BANYANKNOT_PROTOCOL_PROTOCOL_ERROR_H_
#define BANYANKNOT_PROTOCOL_PROTOCOL_ERROR_H_

#include <string>

#include "banyanknot/protocol/protocol_error_code.h"

namespace banyanknot::protocol {

/// \brief An error in a message, and its place.
struct ProtocolError {
  ProtocolErrorCode code = ProtocolErrorCode::kMalformed;
  std::string pointer;  ///< JSON pointer to the value; empty for the root
  std::string reason;
};

}  // namespace banyanknot::protocol

#endif  // BANYANKNOT_PROTOCOL_PROTOCOL_ERROR_H_
