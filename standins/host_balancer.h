#ifndef BANYANKNOT_STANDINS_HOST_BALANCER_H_
#define BANYANKNOT_STANDINS_HOST_BALANCER_H_

#include <atomic>
#include <memory>
#include <mutex>
#include <vector>

#include "banyanknot/coordination/clock.h"
#include "banyanknot/coordination/timer_service.h"
#include "banyanknot/transport/http_connection_pool.h"

namespace banyanknot::standins {

/// \brief Spreads calls over entry hosts, as the platform's balancer does.
///
/// Thread-safe. Asks each host's `/ready` now and then and skips those that
/// are not, so a host that turns not ready still gets calls for a while. A
/// call of which no byte was written goes to another host.
class HostBalancer : public std::enable_shared_from_this<HostBalancer> {
 public:
  HostBalancer(boost::asio::io_context& context,
               const coordination::Clock& clock,
               coordination::TimerService& timers,
               const std::vector<state::Endpoint>& hosts,
               std::size_t connections_per_host, state::Duration ready_poll);

  /// \brief Starts to ask the hosts; they count as ready until they answer.
  void Start();
  void Stop();

  /// \param handler called exactly once; kConnect if no host took the call
  void Call(transport::HttpCall call, transport::HttpCallHandler handler);

  /// \brief Number of hosts that are ready as far as it knows.
  std::size_t ReadyHosts() const;

 private:
  struct Host {
    std::unique_ptr<transport::HttpConnectionPool> pool;
    std::atomic<bool> is_ready{true};
  };

  void Poll(Host& host);
  Host* Next(std::size_t attempt, std::size_t start);
  void Try(std::size_t attempt, std::size_t start, transport::HttpCall call,
           transport::HttpCallHandler handler);

  const coordination::Clock& clock;
  coordination::TimerService& timers;
  const state::Duration ready_poll;
  std::vector<std::unique_ptr<Host>> hosts;
  std::atomic<std::size_t> next{0};
  std::atomic<bool> is_stopped{false};
};

}  // namespace banyanknot::standins

#endif  // BANYANKNOT_STANDINS_HOST_BALANCER_H_
