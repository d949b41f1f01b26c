#ifndef BANYANKNOT_DAEMONS_PROCESS_STOP_TARGET_H_
#define BANYANKNOT_DAEMONS_PROCESS_STOP_TARGET_H_

#include <cstddef>
#include <functional>

#include "banyanknot/Coordination"
#include "banyanknot/transport/http_server.h"

namespace banyanknot::daemons {

/// \brief Stops the components of a banyanknot_host process.
class ProcessStopTarget : public coordination::StopTarget {
 public:
  using StoppedHandler =
      std::function<void(coordination::StopPhase, std::size_t)>;

  ProcessStopTarget(coordination::Membership& membership,
                    const coordination::QueryExecutor& queries,
                    const coordination::ActionExecutor& actions,
                    transport::HttpServer& server);

  /// \brief Sets the handler that is called once the shutdown has ended. Must
  /// be called before the shutdown begins.
  void SetStoppedHandler(StoppedHandler handler);

  void AnnounceLeaving(const coordination::StopSchedule& schedule) override;
  void StopAccepting() override;
  std::size_t InFlight() const override;
  void OnStopped(coordination::StopPhase phase, std::size_t remaining) override;

 private:
  coordination::Membership& membership;
  const coordination::QueryExecutor& queries;
  const coordination::ActionExecutor& actions;
  transport::HttpServer& server;
  StoppedHandler handler;
};

}  // namespace banyanknot::daemons

#endif  // BANYANKNOT_DAEMONS_PROCESS_STOP_TARGET_H_
