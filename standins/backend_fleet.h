#ifndef BANYANKNOT_STANDINS_BACKEND_FLEET_H_
#define BANYANKNOT_STANDINS_BACKEND_FLEET_H_

#include <memory>
#include <string>
#include <vector>

#include "action_ledger.h"
#include "backend_service.h"
#include "banyanknot/transport/http_server.h"
#include "banyanknot/transport/transport_error.h"

namespace banyanknot::standins {

/// \brief The stand-ins of one process, each on its own port.
class BackendFleet {
 public:
  BackendFleet(boost::asio::io_context& context,
               const coordination::Clock& clock,
               coordination::TimerService& timers);

  /// \brief Starts one more stand-in.
  /// \returns its port
  state::Result<std::uint16_t, transport::TransportError> Add(
      const std::string& address, const BackendBehaviour& behaviour);

  /// \brief Changes the stand-ins that `pattern` names: an id, or `*` for all.
  /// \returns an error if none is named or `value` is faulty
  std::optional<protocol::ProtocolError> Change(const std::string& pattern,
                                                const nlohmann::json& value);

  /// \brief What all stand-ins have seen, as a JSON object.
  nlohmann::json Counters() const;

 private:
  struct Member {
    std::unique_ptr<BackendService> service;
    std::unique_ptr<transport::HttpServer> server;
  };

  boost::asio::io_context& context;
  const coordination::Clock& clock;
  coordination::TimerService& timers;
  ActionLedger ledger;
  std::vector<Member> members;
};

/// \brief Serves `PUT /admin/servers/ID` and `GET /admin/counters`.
class BackendAdmin : public transport::HttpHandler {
 public:
  explicit BackendAdmin(BackendFleet& fleet) : fleet(fleet) {}
  void Handle(std::shared_ptr<transport::HttpExchange> exchange) override;

 private:
  BackendFleet& fleet;
};

}  // namespace banyanknot::standins

#endif  // BANYANKNOT_STANDINS_BACKEND_FLEET_H_
