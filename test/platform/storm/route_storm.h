#ifndef BANYANKNOT_TEST_PLATFORM_STORM_ROUTE_STORM_H_
#define BANYANKNOT_TEST_PLATFORM_STORM_ROUTE_STORM_H_

#include <array>
#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include "banyanknot/state/enum_names.h"
#include "deployment.h"
#include "platform/edge/edge_world.h"
#include "platform/storm/route_history.h"

namespace banyanknot::platform::edge_testing {

/// \brief Fault injected into the edges or their store.
enum class StormFault {
  kStoreSilence,  ///< the open connections of one edge to the store go silent
  kStoreSilenceOfAll,
  kStoreDelay,   ///< the connections of one edge to the store are slow
  kStoreMode,    ///< a StoreMode other than kUp
  kStoreReturn,  ///< the store returns from a copy
  kPause,        ///< an edge is suspended for a while (SIGSTOP)
  kKill,         ///< an edge is killed and restarted
  kStop,         ///< an edge is shut down gracefully and restarted
  kReload,       ///< an edge reloads its settings (SIGHUP)
};

inline constexpr std::array<state::EnumName<StormFault>, 9> kStormFaultNames{{
    {StormFault::kStoreSilence, "store_silence"},
    {StormFault::kStoreSilenceOfAll, "store_silence_of_all"},
    {StormFault::kStoreDelay, "store_delay"},
    {StormFault::kStoreMode, "store_mode"},
    {StormFault::kStoreReturn, "store_return"},
    {StormFault::kPause, "pause"},
    {StormFault::kKill, "kill"},
    {StormFault::kStop, "stop"},
    {StormFault::kReload, "reload"},
}};

/// \brief Settings of a RouteStorm.
struct StormOptions {
  std::uint64_t seed = 1;
  std::string log_folder;
  bool has_store_returns = false;
};

/// \brief Requests that one edge handled by old routes in one go.
struct StormViolation {
  std::string first;  ///< description of the first
  std::string last_time;
  std::size_t count = 0;
};

/// \brief Result of one storm.
struct StormReport {
  std::map<std::string, std::size_t> outcomes;
  std::size_t checked = 0;  ///< requests at edges that were in touch
  std::uint64_t versions = 0;
  std::vector<std::string> events;  ///< faults, with their times
  std::map<std::string, StormViolation> violations;  ///< by edge and time
};

/// \brief Publishes versions of the routes in bursts beside faults, and checks
/// how each request is handled: by routes that may be in force, and never by
/// older ones than the edge has shown before.
class RouteStorm {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  explicit RouteStorm(StormOptions options);

  StormReport Run(std::chrono::milliseconds duration);

 private:
  /// The newest version that a process has certainly shown.
  struct Shown {
    int start = 0;  ///< number of the process
    std::uint64_t version = 0;
  };
  struct Edge {
    Shown LastShown() const;
    /// Ignored if a new process has started since.
    void Show(const Shown& newer);
    void Restart();

    std::unique_ptr<EdgeProcess> process;
    bool has_fault = false;
    /// When its last disturbance ended; the greatest time while it lasts.
    std::atomic<TimePoint> calm_since{TimePoint::min()};
    mutable std::mutex mutex;  // guards `shown`
    Shown shown;
  };
  struct Recovery {
    TimePoint at;
    std::function<void()> act;
  };

  // These run on the thread of Run().
  void InjectFault(StormFault fault);
  void InjectEdgeFault(StormFault fault);
  void ReturnStore();
  void DisturbAll();
  void CalmAll();
  void CalmWhenReady(Edge& edge);
  void ScheduleRecovery(std::chrono::milliseconds after,
                        std::function<void()> act);
  void RunDueRecoveries();
  StormFault DrawFault();
  int Draw(int min, int max);
  void Record(const std::string& event);

  // These run on threads of their own.
  void Publish(std::uint64_t seed);
  void PublishNext(std::mt19937_64& draws);
  void WriteRoutes();
  void Call(Edge& edge, unsigned number, std::uint64_t seed);
  void Check(Edge& edge, const std::string& prefix, const std::string& service,
             TimePoint sent_at, TimePoint calm_since, const Shown& shown);
  /// \param subject joins violations to one
  void RecordViolation(const std::string& subject,
                       const std::string& violation);
  std::string TimeText(TimePoint time) const;

  const StormOptions options;
  std::mt19937_64 random;
  EdgeWorld world;
  standins::ProxyParts proxy;
  std::vector<std::unique_ptr<Edge>> edges;
  std::vector<Recovery> recoveries;
  RouteHistory history;
  std::atomic<bool> is_done{false};
  std::atomic<bool> is_store_calm{true};
  TimePoint started_at;

  std::mutex publish_mutex;  // guards the next three
  std::uint64_t version = 1;
  RoutesByPrefix routes;
  StoreCopy copy;
  std::vector<RoutesByPrefix> earlier;  // of the publishing thread

  std::mutex report_mutex;
  StormReport report;
};

}  // namespace banyanknot::platform::edge_testing

#endif  // BANYANKNOT_TEST_PLATFORM_STORM_ROUTE_STORM_H_
