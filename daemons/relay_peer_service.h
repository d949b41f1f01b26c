#ifndef BANYANKNOT_DAEMONS_RELAY_PEER_SERVICE_H_
#define BANYANKNOT_DAEMONS_RELAY_PEER_SERVICE_H_

#include <memory>

#include "banyanknot/coordination/clock.h"
#include "banyanknot/coordination/delegation/change_history.h"
#include "banyanknot/coordination/delegation/gatherer_roster.h"
#include "banyanknot/coordination/quota/quota_accountant.h"
#include "banyanknot/coordination/readiness.h"
#include "banyanknot/coordination/routing/relay_runner.h"
#include "banyanknot/coordination/routing/route_directory.h"
#include "banyanknot/coordination/timer_service.h"
#include "banyanknot/protocol/fleet_codec.h"
#include "banyanknot/protocol/relay_codec.h"
#include "banyanknot/transport/http_server.h"

namespace banyanknot::daemons {

/// \brief Serves other relay hosts: exchanges adverts, gathers for them, and
/// passes published changes on to them.
class RelayPeerService : public transport::HttpHandler {
 public:
  RelayPeerService(const coordination::Clock& clock,
                   const protocol::RelayCodec& codec,
                   const coordination::Readiness& readiness,
                   const coordination::RouteDirectory& routes,
                   coordination::GathererRoster& roster,
                   coordination::ChangeHistory& history,
                   coordination::TimerService& timers,
                   coordination::RelayRunner& executor,
                   coordination::QuotaAccountant& accountant);

  void Handle(std::shared_ptr<transport::HttpExchange> exchange) override;

 private:
  void HandleDelegated(const std::shared_ptr<transport::HttpExchange>& exchange,
                       const protocol::HttpRequest& request,
                       const protocol::DelegationHeader& delegation);
  protocol::HttpResponse ExchangeAdverts(const std::string& body);
  void GrantCredit(const std::shared_ptr<transport::HttpExchange>& exchange);
  void PassChanges(const std::shared_ptr<transport::HttpExchange>& exchange,
                   const protocol::ChangesQuery& query);

  const coordination::Clock& clock;
  const protocol::RelayCodec& codec;
  const coordination::Readiness& readiness;
  const coordination::RouteDirectory& routes;
  coordination::GathererRoster& roster;
  coordination::ChangeHistory& history;
  coordination::TimerService& timers;
  coordination::RelayRunner& executor;
  coordination::QuotaAccountant& accountant;
};

}  // namespace banyanknot::daemons

#endif  // BANYANKNOT_DAEMONS_RELAY_PEER_SERVICE_H_
