#include "transport/connect_from.h"

#include <netinet/in.h>
#include <sys/socket.h>

namespace banyanknot::transport::internal {

namespace asio = boost::asio;
using asio::ip::tcp;

void OpenBoundSocket(const std::string& source, const tcp& protocol,
                     tcp::socket& socket, boost::system::error_code& error) {
  error = {};
  if (source.empty()) return;
  const asio::ip::address address = asio::ip::make_address(source, error);
  if (error) return;
  socket.open(protocol, error);
  if (error) return;
  // Defers the choice of the port to connect(), which can share a port among
  // destinations.
  const int enabled = 1;
  setsockopt(socket.native_handle(), IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT,
             &enabled, sizeof(enabled));
  socket.bind(tcp::endpoint(address, 0), error);
}

}  // namespace banyanknot::transport::internal
