#ifndef BANYANKNOT_COORDINATION_FLEET_PEER_MESSAGE_SIZE_H_
#define BANYANKNOT_COORDINATION_FLEET_PEER_MESSAGE_SIZE_H_

#include <cstddef>

#include "banyanknot/coordination/peer_message.h"

namespace banyanknot::coordination {

/// \brief Estimates the encoded size of a message, in bytes.
std::size_t EstimateSize(const PeerMessage& message);

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_FLEET_PEER_MESSAGE_SIZE_H_
