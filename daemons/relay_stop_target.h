#ifndef BANYANKNOT_DAEMONS_RELAY_STOP_TARGET_H_
#define BANYANKNOT_DAEMONS_RELAY_STOP_TARGET_H_

#include <functional>

#include "banyanknot/coordination/routing/relay_executor.h"
#include "banyanknot/coordination/stop_target.h"
#include "banyanknot/transport/http_server.h"

namespace banyanknot::daemons {

/// \brief Stops a relay host. From the start of the shutdown, each response
/// closes its connection, so that callers reconnect to other hosts.
class RelayStopTarget : public coordination::StopTarget {
 public:
  using StoppedHandler =
      std::function<void(coordination::StopPhase, std::size_t)>;

  /// \param runner runs callers' requests, with `executor`
  /// \param server serves callers
  /// \param peer_server serves other hosts
  RelayStopTarget(coordination::RelayRunner& runner,
                  const coordination::RelayExecutor& executor,
                  transport::HttpServer& server,
                  transport::HttpServer& peer_server)
      : runner(runner),
        executor(executor),
        server(server),
        peer_server(peer_server) {}

  /// \brief Sets the handler that is called once the shutdown has ended. Must
  /// be called before the shutdown begins.
  void SetStoppedHandler(StoppedHandler stopped_handler) {
    this->handler = std::move(stopped_handler);
  }

  void AnnounceLeaving(const coordination::StopSchedule& schedule) override {
    this->server.DisableKeepAlive();
    this->runner.FinishBy(schedule);
  }
  void StopAccepting() override {
    this->server.Shutdown();
    this->peer_server.Shutdown();
  }
  std::size_t InFlight() const override {
    return this->executor.Unanswered() + this->server.Connections() +
           this->peer_server.Connections();
  }
  void OnStopped(coordination::StopPhase phase,
                 std::size_t remaining) override {
    if (this->handler) this->handler(phase, remaining);
  }

 private:
  coordination::RelayRunner& runner;
  const coordination::RelayExecutor& executor;
  transport::HttpServer& server;
  transport::HttpServer& peer_server;
  StoppedHandler handler;
};

}  // namespace banyanknot::daemons

#endif  // BANYANKNOT_DAEMONS_RELAY_STOP_TARGET_H_
