#ifndef BANYANKNOT_TEST_PLATFORM_EDGE_EDGE_FLEET_H_
#define BANYANKNOT_TEST_PLATFORM_EDGE_EDGE_FLEET_H_

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "deployment.h"
#include "platform/edge/edge_world.h"
#include "platform/edge/raw_caller.h"

namespace banyanknot::platform::edge_testing {

/// \brief Edges of one domain with a store, and a caller that stays connected
/// to each.
///
/// Old routes lead kMoved to the server kOldServer; new ones lead it and the
/// added route kAdded to kNewServer.
class EdgeFleet {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  static constexpr const char* kMoved = "/moved/";
  static constexpr const char* kAdded = "/added/";
  static constexpr const char* kOldServer = "s0";
  static constexpr const char* kNewServer = "s1";
  /// \brief Time from the acknowledgement of a version until it is in force.
  static constexpr std::chrono::milliseconds kApplyTime{3'000};
  /// \brief Time from the end of a disturbance until hosts are in touch.
  static constexpr std::chrono::milliseconds kContactTime{4'000};

  /// \param edge_count five or more share their watches
  explicit EdgeFleet(std::size_t edge_count = 1);
  /// \brief Starts the edges with old routes, of version 2.
  /// \returns false if one doesn't start to serve
  bool Start();

  EdgeWorld& World() { return this->world; }
  StoreStandIn& Store() { return this->world.Store(); }
  EdgeProcess& Edge(std::size_t index) { return *this->edges[index]; }
  std::size_t Size() const { return this->edges.size(); }

  void PutOldRoutes(std::uint64_t version);
  /// \param more number of further routes
  void PutNewRoutes(std::uint64_t version, std::size_t more = 0);
  void RegisterServers();

  /// \brief Returns the server that runs a request on the open connection to
  /// an edge; the status if none does.
  std::string Run(std::size_t edge, const char* prefix);
  /// \brief As Run(), on a new connection.
  std::string RunAnew(std::size_t edge, const char* prefix);
  /// \brief Waits until all edges have a version in force.
  bool WaitForVersion(double version);
  /// \brief Waits until the store gets about as few calls as two watchers make.
  bool WaitUntilFollowing();
  /// \brief Makes the open connections of an edge to the store silent.
  void SilenceStoreOf(std::size_t edge);

  /// \brief Runs requests on new and open connections of an edge.
  /// \returns those that new routes don't explain: edge, route, and who ran it
  std::string OldAnswers(std::size_t edge);
  /// \brief Waits until new routes that were acknowledged at `written_at` must
  /// be in force, the last disturbance having ended at `calm_since`.
  /// \returns OldAnswers() of the edges from `first` on
  std::string OldAnswersInTime(TimePoint written_at, TimePoint calm_since,
                               std::size_t first = 0);

 private:
  std::string NextId();

  EdgeWorld world;
  standins::ProxyParts proxy;
  standins::TemporaryFolder folder;
  std::vector<std::unique_ptr<EdgeProcess>> edges;
  std::vector<std::unique_ptr<RawCaller>> callers;  // by edge
  std::uint64_t requests = 0;
};

}  // namespace banyanknot::platform::edge_testing

#endif  // BANYANKNOT_TEST_PLATFORM_EDGE_EDGE_FLEET_H_
