#ifndef BANYANKNOT_SRC_PROTOCOL_PEER_READER_H_
#define BANYANKNOT_SRC_PROTOCOL_PEER_READER_H_

#include <optional>

#include "banyanknot/coordination/peer_message.h"
#include "protocol/peer_generated.h"

namespace banyanknot::protocol::internal {

/// \brief Decodes the body of a verified envelope.
///
/// Fields that an older release does not send get their defaults. Host and
/// server updates with an unknown state or phase are left out, as are host
/// updates without a host.
/// \pre envelope.body_type() is a kind that this release knows
/// \returns nothing if the body or a required field is missing or invalid
std::optional<coordination::PeerMessage> ReadBody(
    const wire::Envelope& envelope);

}  // namespace banyanknot::protocol::internal

#endif  // BANYANKNOT_SRC_PROTOCOL_PEER_READER_H_
