#ifndef BANYANKNOT_SRC_TRANSPORT_CONNECT_FROM_H_
#define BANYANKNOT_SRC_TRANSPORT_CONNECT_FROM_H_

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace banyanknot::transport::internal {

/// \brief Opens `socket` so that it will connect from `source`.
///
/// \param source IP number of this host; empty to leave it to the system
/// \param error set if the number can't be read or isn't this host's
void OpenBoundSocket(const std::string& source,
                     const boost::asio::ip::tcp& protocol,
                     boost::asio::ip::tcp::socket& socket,
                     boost::system::error_code& error);

}  // namespace banyanknot::transport::internal

#endif  // BANYANKNOT_SRC_TRANSPORT_CONNECT_FROM_H_
