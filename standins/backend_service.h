#ifndef BANYANKNOT_STANDINS_BACKEND_SERVICE_H_
#define BANYANKNOT_STANDINS_BACKEND_SERVICE_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

#include "banyanknot/coordination/clock.h"
#include "banyanknot/coordination/timer_service.h"
#include "banyanknot/state/sub_request.h"
#include "banyanknot/transport/http_server.h"

namespace banyanknot::standins {

/// \brief How one stand-in of a backend server behaves.
struct BackendBehaviour {
  std::string instance = "i1";
  std::uint64_t snapshot = 1;
  std::uint64_t key_stride = 100;  ///< keys at multiples of this have records
  state::Duration service_time = state::Milliseconds(1);
};

/// \brief The value that every stand-in holds for a key in a snapshot.
std::string ExpectedValue(std::uint64_t key, std::uint64_t snapshot);

/// \brief Serves a small stand-in of one backend server.
class BackendService : public transport::HttpHandler {
 public:
  BackendService(const coordination::Clock& clock,
                 coordination::TimerService& timers,
                 BackendBehaviour behaviour);
  void Handle(std::shared_ptr<transport::HttpExchange> exchange) override;

 private:
  state::ServerReport Report() const;
  void HandleSubRequest(
      const std::shared_ptr<transport::HttpExchange>& exchange);
  state::SubReply MakeReply(const state::SubRequest& request) const;

  const coordination::Clock& clock;
  coordination::TimerService& timers;
  const BackendBehaviour behaviour;
  std::atomic<std::uint32_t> running{0};
};

}  // namespace banyanknot::standins

#endif  // BANYANKNOT_STANDINS_BACKEND_SERVICE_H_
