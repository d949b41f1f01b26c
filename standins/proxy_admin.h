#ifndef BANYANKNOT_STANDINS_PROXY_ADMIN_H_
#define BANYANKNOT_STANDINS_PROXY_ADMIN_H_

#include <memory>
#include <nlohmann/json.hpp>
#include <vector>

#include "banyanknot/protocol/protocol_error.h"
#include "banyanknot/transport/http_server.h"
#include "fault_proxy.h"

namespace banyanknot::standins {

using ProxyRoutesResult =
    state::Result<std::vector<ProxyRoute>, protocol::ProtocolError>;

/// \brief Reads `{"routes": [...]}`.
ProxyRoutesResult ReadProxyRoutes(const nlohmann::json& value);

/// \brief Sets the faults of a proxy at run time.
///
/// `PUT /admin/faults {"routes", "delay_ms", "drops_new",
/// "reset_after_bytes", "cross_every"}`, `PUT /admin/blackhole {"routes",
/// "share"}`, `PUT /admin/cut {"from", "to"}`, `PUT /admin/heal`.
class ProxyAdmin : public transport::HttpHandler {
 public:
  explicit ProxyAdmin(FaultProxy& proxy) : proxy(proxy) {}
  void Handle(std::shared_ptr<transport::HttpExchange> exchange) override;

 private:
  FaultProxy& proxy;
};

}  // namespace banyanknot::standins

#endif  // BANYANKNOT_STANDINS_PROXY_ADMIN_H_
