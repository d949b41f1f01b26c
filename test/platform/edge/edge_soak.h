#ifndef BANYANKNOT_TEST_PLATFORM_EDGE_EDGE_SOAK_H_
#define BANYANKNOT_TEST_PLATFORM_EDGE_EDGE_SOAK_H_

#include <array>
#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "banyanknot/state/enum_names.h"
#include "deployment.h"
#include "platform/edge/edge_world.h"
#include "platform/edge/soak_caller.h"

namespace banyanknot::platform::edge_testing {

/// \brief Fault injected into the processes or their connections.
enum class SoakFault {
  kDelay,          ///< connections to a server are delayed
  kReset,          ///< connections to a server are reset during the reply
  kDropNew,        ///< a server accepts no new connections
  kBlackhole,      ///< half of the open connections to servers go silent
  kStoreSilence,   ///< open connections to the store go silent
  kStoreMode,      ///< a StoreMode other than kUp
  kPause,          ///< an edge is suspended for a while (SIGSTOP)
  kKill,           ///< an edge is killed and restarted
  kStop,           ///< an edge is shut down gracefully and restarted
  kReload,         ///< an edge reloads its settings (SIGHUP)
  kServerTrouble,  ///< a ServerMode other than kServing
  kSlowServer,
  kRoutes,      ///< the store gets a new version of the routes
  kServerGone,  ///< a server's entry is deleted and put back
};

inline constexpr std::array<state::EnumName<SoakFault>, 14> kSoakFaultNames{{
    {SoakFault::kDelay, "delay"},
    {SoakFault::kReset, "reset"},
    {SoakFault::kDropNew, "drop_new"},
    {SoakFault::kBlackhole, "blackhole"},
    {SoakFault::kStoreSilence, "store_silence"},
    {SoakFault::kStoreMode, "store_mode"},
    {SoakFault::kPause, "pause"},
    {SoakFault::kKill, "kill"},
    {SoakFault::kStop, "stop"},
    {SoakFault::kReload, "reload"},
    {SoakFault::kServerTrouble, "server_trouble"},
    {SoakFault::kSlowServer, "slow_server"},
    {SoakFault::kRoutes, "routes"},
    {SoakFault::kServerGone, "server_gone"},
}};

/// \brief Result of one soak.
struct SoakReport {
  std::map<unsigned, std::size_t> statuses;
  std::vector<std::string> faults;      ///< in the order of injection
  std::vector<std::string> violations;  ///< descriptions of violated guarantees
};

/// \brief Soak test of three edge programs under load and overlapping faults.
///
/// Checks the responses to callers and the executions at servers.
class EdgeSoak {
 public:
  /// \param log_folder folder for the logs of the edges; empty for none
  EdgeSoak(std::uint64_t seed, const std::string& log_folder);

  /// \brief Injects faults for `duration`, then waits for full recovery.
  SoakReport Run(std::chrono::milliseconds duration);

 private:
  using TimePoint = std::chrono::steady_clock::time_point;

  struct Edge {
    std::unique_ptr<EdgeProcess> process;
    std::shared_ptr<SoakTarget> target = std::make_shared<SoakTarget>();
    bool has_fault = false;  // a fault is in progress
  };
  struct Recovery {
    TimePoint at;
    std::function<void()> act;
  };

  void InjectFault(SoakFault fault);
  void InjectEdgeFault(SoakFault fault);
  /// Marks a kill or stop of `edge` as over, in `count` too, once it is ready.
  void ClearFaultWhenReady(Edge& edge, std::atomic<int>& count);
  void CheckAlive(const Edge& edge);
  void InjectServerFault(SoakFault fault);
  void ScheduleRecovery(std::chrono::milliseconds after,
                        std::function<void()> act);
  void RunDueRecoveries(TimePoint now);
  bool IsHealthy();
  void CheckRuns(const std::vector<std::unique_ptr<SoakCaller>>& callers);
  std::size_t RunsOf(const std::string& id) const;
  std::chrono::milliseconds Draw(int min_ms, int max_ms);

  std::mt19937_64 random;
  EdgeWorld world;
  standins::ProxyParts proxy;
  std::vector<Edge> edges;
  std::vector<Recovery> recoveries;
  std::map<std::string, std::uint16_t> server_ports;  // proxy port by server
  std::uint64_t version = 1;
  SoakReport report;
};

}  // namespace banyanknot::platform::edge_testing

#endif  // BANYANKNOT_TEST_PLATFORM_EDGE_EDGE_SOAK_H_
