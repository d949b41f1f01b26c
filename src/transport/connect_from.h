#ifndef BANYANKNOT_SRC_TRANSPORT_CONNECT_FROM_H_
#define BANYANKNOT_SRC_TRANSPORT_CONNECT_FROM_H_

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace banyanknot::transport::internal {

/// \brief Opens `socket` and binds it to the local address `source`.
///
/// \param source IP address of this host; if empty, does nothing
/// \param error set if the address is malformed or not one of this host
void OpenBoundSocket(const std::string& source,
                     const boost::asio::ip::tcp& protocol,
                     boost::asio::ip::tcp::socket& socket,
                     boost::system::error_code& error);

}  // namespace banyanknot::transport::internal

#endif  // BANYANKNOT_SRC_TRANSPORT_CONNECT_FROM_H_
