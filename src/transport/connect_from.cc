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
  // Leaves the port to the connect, which may share it between destinations.
  const int enabled = 1;
  setsockopt(socket.native_handle(), IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT,
             &enabled, sizeof(enabled));
  socket.bind(tcp::endpoint(address, 0), error);
}

}  // namespace banyanknot::transport::internal
