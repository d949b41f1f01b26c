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

/// \brief What is done to the processes and their connections.
enum class SoakFault {
  kDelay,          ///< connections to a server get slow
  kReset,          ///< replies of a server are cut off by a reset
  kDropNew,        ///< a server takes no new connections
  kBlackhole,      ///< half of all connections to servers go silent
  kStoreSilence,   ///< connections to the store go silent
  kStoreMode,      ///< the store refuses, forgets, loses answers, is silent
  kPause,          ///< an edge is stopped and goes on later
  kKill,           ///< an edge is killed and started again
  kStop,           ///< an edge is told to stop and started again
  kReload,         ///< an edge is told to read its settings again
  kServerTrouble,  ///< a server sheds, fails or loses its replies
  kSlowServer,
  kRoutes,      ///< a new version of the routes
  kServerGone,  ///< a server's entry goes and comes back
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

/// \brief What came of one soak.
struct SoakReport {
  std::map<unsigned, std::size_t> statuses;
  std::vector<std::string> faults;  ///< in the order in which they came
  std::vector<std::string> broken;  ///< promises, in words
};

/// \brief Three edge programs under callers and a series of faults that
/// overlap; checks what callers and servers see.
class EdgeSoak {
 public:
  /// \param log_folder where the logs of the edges are kept; empty for
  ///     nowhere
  EdgeSoak(std::uint64_t seed, const std::string& log_folder);

  /// \brief Faults for so long, then none until everything works again.
  SoakReport Run(std::chrono::milliseconds duration);

 private:
  using TimePoint = std::chrono::steady_clock::time_point;

  struct Edge {
    std::unique_ptr<EdgeProcess> process;
    std::shared_ptr<SoakTarget> target = std::make_shared<SoakTarget>();
    bool is_disturbed = false;  // by a fault that has not ended
  };
  struct Ending {
    TimePoint at;
    std::function<void()> act;
  };

  void Begin(SoakFault fault);
  void DisturbEdge(SoakFault fault);
  /// Ends a kill or stop of `edge`, which `count` counts, once it is back.
  void EndWhenReady(Edge& edge, std::atomic<int>& count);
  void CheckAlive(const Edge& edge);
  void DisturbServer(SoakFault fault);
  void EndLater(std::chrono::milliseconds after, std::function<void()> act);
  void EndDue(TimePoint now);
  bool Works();
  void CheckRuns(const std::vector<std::unique_ptr<SoakCaller>>& callers);
  std::size_t RunsOf(const std::string& id) const;
  std::chrono::milliseconds Draw(int least_ms, int most_ms);

  std::mt19937_64 random;
  EdgeWorld world;
  standins::ProxyParts proxy;
  std::vector<Edge> edges;
  std::vector<Ending> endings;
  std::map<std::string, std::uint16_t> server_ports;  // of the proxy
  std::uint64_t version = 1;
  SoakReport report;
};

}  // namespace banyanknot::platform::edge_testing

#endif  // BANYANKNOT_TEST_PLATFORM_EDGE_EDGE_SOAK_H_
