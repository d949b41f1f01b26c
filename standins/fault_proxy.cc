#include "fault_proxy.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <map>
#include <utility>
#include <vector>

#include "proxy_connection.h"

namespace banyanknot::standins {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using internal::ProxyConnection;
using internal::RouteState;

namespace {

constexpr std::uint64_t kShareUnit = 1'000'000;

bool Matches(const std::string& name, const std::string& pattern) {
  if (pattern.empty() || pattern.back() != '*') return name == pattern;
  return name.compare(0, pattern.size() - 1, pattern, 0, pattern.size() - 1) ==
         0;
}

}  // namespace

struct FaultProxy::Impl : std::enable_shared_from_this<FaultProxy::Impl> {
  Impl(asio::io_context& context, SourceLocator& locator,
       coordination::RandomSource& random)
      : context(context), locator(locator), random(random) {}

  void AcceptNext(const std::shared_ptr<tcp::acceptor>& acceptor,
                  const std::shared_ptr<RouteState>& route);
  void OnAccepted(tcp::socket socket, const std::shared_ptr<RouteState>& route);
  std::vector<std::shared_ptr<ProxyConnection>> OpenConnections() const;
  bool IsCut(ProxyConnection& connection);

  asio::io_context& context;
  SourceLocator& locator;
  coordination::RandomSource& random;
  DomainCuts cuts;
  mutable std::mutex mutex;
  std::vector<std::shared_ptr<tcp::acceptor>> acceptors;
  std::vector<std::shared_ptr<RouteState>> routes;
  std::map<const ProxyConnection*, std::shared_ptr<ProxyConnection>>
      connections;
};

void FaultProxy::Impl::AcceptNext(
    const std::shared_ptr<tcp::acceptor>& acceptor,
    const std::shared_ptr<RouteState>& route) {
  acceptor->async_accept([self = this->shared_from_this(), acceptor, route](
                             const error_code& error, tcp::socket socket) {
    if (error) return;
    self->OnAccepted(std::move(socket), route);
    self->AcceptNext(acceptor, route);
  });
}

void FaultProxy::Impl::OnAccepted(tcp::socket socket,
                                  const std::shared_ptr<RouteState>& route) {
  if (route->Faults().drops_new) return;
  const std::shared_ptr<ProxyConnection> connection =
      std::make_shared<ProxyConnection>(
          this->context, std::move(socket), route,
          [weak = this->weak_from_this()](const ProxyConnection* closed) {
            const std::shared_ptr<Impl> impl = weak.lock();
            if (impl == nullptr) return;
            const std::lock_guard<std::mutex> lock(impl->mutex);
            impl->connections.erase(closed);
          });
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->connections.emplace(connection.get(), connection);
  }
  if (!this->cuts.IsEmpty() && this->IsCut(*connection)) {
    connection->GoSilent();
  }
  connection->Start();
}

std::vector<std::shared_ptr<ProxyConnection>>
FaultProxy::Impl::OpenConnections() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::vector<std::shared_ptr<ProxyConnection>> open;
  open.reserve(this->connections.size());
  for (const auto& [key, connection] : this->connections) {
    open.push_back(connection);
  }
  return open;
}

bool FaultProxy::Impl::IsCut(ProxyConnection& connection) {
  std::string from = connection.FromDomain();
  if (from.empty()) {
    from = this->locator.DomainOf(connection.SourceAddress());
    connection.SetFromDomain(from);
  }
  return this->cuts.IsCut(from, connection.Route().route.to_domain);
}

FaultProxy::FaultProxy(asio::io_context& context, SourceLocator& locator,
                       coordination::RandomSource& random)
    : impl(std::make_shared<Impl>(context, locator, random)) {}

FaultProxy::~FaultProxy() {
  for (const std::shared_ptr<ProxyConnection>& connection :
       this->impl->OpenConnections()) {
    connection->Close();
  }
}

state::Result<std::uint16_t, transport::TransportError> FaultProxy::AddRoute(
    const ProxyRoute& route) {
  const std::shared_ptr<tcp::acceptor> acceptor =
      std::make_shared<tcp::acceptor>(this->impl->context);
  error_code error;
  acceptor->open(tcp::v4(), error);
  acceptor->set_option(tcp::acceptor::reuse_address(true), error);
  acceptor->bind({asio::ip::address_v4::loopback(), route.port}, error);
  if (!error) {
    acceptor->listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) return transport::TransportError::kListen;
  const std::shared_ptr<RouteState> route_state =
      std::make_shared<RouteState>(route);
  {
    const std::lock_guard<std::mutex> lock(this->impl->mutex);
    this->impl->acceptors.push_back(acceptor);
    this->impl->routes.push_back(route_state);
  }
  this->impl->AcceptNext(acceptor, route_state);
  return acceptor->local_endpoint().port();
}

std::size_t FaultProxy::SetFaults(const std::string& pattern,
                                  const RouteFaults& faults) {
  const std::lock_guard<std::mutex> lock(this->impl->mutex);
  std::size_t changed = 0;
  for (const std::shared_ptr<RouteState>& route : this->impl->routes) {
    if (!Matches(route->route.name, pattern)) continue;
    const std::lock_guard<std::mutex> route_lock(route->mutex);
    route->faults = faults;
    ++changed;
  }
  return changed;
}

std::size_t FaultProxy::BlackholeOpen(const std::string& pattern,
                                      double share) {
  const std::uint64_t threshold =
      static_cast<std::uint64_t>(share * static_cast<double>(kShareUnit));
  std::size_t silent = 0;
  for (const std::shared_ptr<ProxyConnection>& connection :
       this->impl->OpenConnections()) {
    if (!Matches(connection->Route().route.name, pattern)) continue;
    if (this->impl->random.Below(kShareUnit) >= threshold) continue;
    connection->GoSilent();
    ++silent;
  }
  return silent;
}

void FaultProxy::Cut(const std::string& from, const std::string& to) {
  this->impl->cuts.Cut(from, to);
  for (const std::shared_ptr<ProxyConnection>& connection :
       this->impl->OpenConnections()) {
    if (this->impl->IsCut(*connection)) connection->GoSilent();
  }
}

void FaultProxy::HealCuts() { this->impl->cuts.HealAll(); }

std::size_t FaultProxy::Connections() const {
  const std::lock_guard<std::mutex> lock(this->impl->mutex);
  return this->impl->connections.size();
}

}  // namespace banyanknot::standins
