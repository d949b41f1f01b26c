#ifndef BANYANKNOT_PROTOCOL_PROTOCOL_ERROR_H_
#define BANYANKNOT_PROTOCOL_PROTOCOL_ERROR_H_

#include <string>

#include "banyanknot/protocol/protocol_error_code.h"

namespace banyanknot::protocol {

/// \brief What is wrong with a message, and where.
struct ProtocolError {
  ProtocolErrorCode code = ProtocolErrorCode::kMalformed;
  std::string pointer;  ///< JSON pointer to the member; empty for the whole
  std::string reason;
};

}  // namespace banyanknot::protocol

#endif  // BANYANKNOT_PROTOCOL_PROTOCOL_ERROR_H_
