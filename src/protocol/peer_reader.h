#ifndef BANYANKNOT_SRC_PROTOCOL_PEER_READER_H_
#define BANYANKNOT_SRC_PROTOCOL_PEER_READER_H_

#include <optional>

#include "banyanknot/coordination/peer_message.h"
#include "protocol/peer_generated.h"

namespace banyanknot::protocol::internal {

/// \brief Reads the body of a verified envelope.
///
/// Members that an older release does not send get their defaults. Rumours and
/// notes with names that no table has are left out.
/// \pre envelope.body_type() is a kind that this release knows
/// \returns nothing if the body or a part that it needs is missing or wrong
std::optional<coordination::PeerMessage> ReadBody(
    const wire::Envelope& envelope);

}  // namespace banyanknot::protocol::internal

#endif  // BANYANKNOT_SRC_PROTOCOL_PEER_READER_H_
