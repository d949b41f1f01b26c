#ifndef BANYANKNOT_DAEMONS_RELAY_FRONT_SERVICE_H_
#define BANYANKNOT_DAEMONS_RELAY_FRONT_SERVICE_H_

#include <memory>

#include "banyanknot/coordination/clock.h"
#include "banyanknot/coordination/readiness.h"
#include "banyanknot/coordination/routing/relay_runner.h"
#include "banyanknot/protocol/relay_codec.h"
#include "banyanknot/transport/http_server.h"

namespace banyanknot::daemons {

/// \brief Runs callers' requests in a RelayExecutor and responds with its
/// answers.
class RelayFrontService : public transport::HttpHandler {
 public:
  RelayFrontService(const coordination::Clock& clock,
                    const protocol::RelayCodec& codec,
                    const coordination::Readiness& readiness,
                    coordination::RelayRunner& runner);
  void Handle(std::shared_ptr<transport::HttpExchange> exchange) override;

 private:
  const coordination::Clock& clock;
  const protocol::RelayCodec& codec;
  const coordination::Readiness& readiness;
  coordination::RelayRunner& runner;
};

}  // namespace banyanknot::daemons

#endif  // BANYANKNOT_DAEMONS_RELAY_FRONT_SERVICE_H_
