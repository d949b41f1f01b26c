#include "transport/open_acceptor.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/socket_base.hpp>

namespace banyanknot::transport::internal {

namespace asio = boost::asio;
using asio::ip::tcp;

state::Result<std::uint16_t, TransportError> OpenAcceptor(
    tcp::acceptor& acceptor, const state::Endpoint& endpoint) {
  boost::system::error_code error;
  const asio::ip::address address =
      asio::ip::make_address(endpoint.address, error);
  if (error) return TransportError::kResolve;
  const tcp::endpoint local(address, endpoint.port);
  acceptor.open(local.protocol(), error);
  if (!error) acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor.bind(local, error);
  if (!error) acceptor.listen(asio::socket_base::max_listen_connections, error);
  if (error) return TransportError::kListen;
  return acceptor.local_endpoint().port();
}

}  // namespace banyanknot::transport::internal
