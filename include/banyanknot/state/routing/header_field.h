#ifndef BANYANKNOT_STATE_ROUTING_HEADER_FIELD_H_
#define BANYANKNOT_STATE_ROUTING_HEADER_FIELD_H_

#include <string>

namespace banyanknot::state {

/// \brief One header of a request or reply, as received.
struct HeaderField {
  std::string name;
  std::string value;
};

}  // namespace banyanknot::state

#endif  // BANYANKNOT_STATE_ROUTING_HEADER_FIELD_H_
