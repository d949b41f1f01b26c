#ifndef BANYANKNOT_SRC_TRANSPORT_OPEN_ACCEPTOR_H_
#define BANYANKNOT_SRC_TRANSPORT_OPEN_ACCEPTOR_H_

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>

#include "banyanknot/state/endpoint.h"
#include "banyanknot/state/result.h"
#include "banyanknot/transport/transport_error.h"

namespace banyanknot::transport::internal {

/// \brief Opens `acceptor` and starts listening; port 0 selects any free port.
/// \returns the port; kResolve or kListen on failure
state::Result<std::uint16_t, TransportError> OpenAcceptor(
    boost::asio::ip::tcp::acceptor& acceptor, const state::Endpoint& endpoint);

}  // namespace banyanknot::transport::internal

#endif  // BANYANKNOT_SRC_TRANSPORT_OPEN_ACCEPTOR_H_
