#ifndef BANYANKNOT_TEST_PLATFORM_EDGE_EDGE_WORLD_H_
#define BANYANKNOT_TEST_PLATFORM_EDGE_EDGE_WORLD_H_

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "blocking_http_client.h"
#include "child_process.h"
#include "free_ports.h"
#include "platform/edge/server_stand_in.h"
#include "platform/edge/store_stand_in.h"
#include "temporary_folder.h"

namespace banyanknot::platform::edge_testing {

/// \brief An edge program that runs as a child process.
class EdgeProcess {
 public:
  /// \param log_file file for the log; empty to read it by WaitForEvent()
  EdgeProcess(const std::string& id, const std::string& domain,
              const state::Endpoint& store, standins::FreePorts& ports,
              std::string log_file = "");

  const std::string& Id() const { return this->id; }
  const state::Endpoint& Callers() const { return this->callers; }
  const state::Endpoint& ReadyAddress() const { return this->ready; }
  const state::Endpoint& Metrics() const { return this->metrics; }
  const state::Endpoint& Peers() const { return this->peers; }
  /// \brief Makes it work with other edges; before Start().
  /// \param seeds peer addresses of some edges
  /// \param core_share its processor share
  void JoinFleet(const std::vector<state::Endpoint>& seeds, double core_share);
  /// \brief Sets the times of a planned stop; before Start().
  void SetStopTimes(state::Duration leave_grace, state::Duration stop_bound);
  /// \brief Sets the time from SIGTERM to SIGKILL; before Start().
  void SetStopGrace(double seconds);
  /// \brief Sets the memory that it is told to have; before Start().
  void SetMemory(std::size_t megabytes);
  /// \brief Makes it keep quotas in a fleet of these domains; before Start().
  void KeepQuotas(const std::vector<std::string>& domains);
  /// \brief Limits its open file descriptors; before Start().
  void SetMaxDescriptors(std::size_t count);
  const std::string& SettingsPath() const { return this->settings_path; }

  void Start();
  void Signal(int number) const { this->process->Signal(number); }
  /// \returns the exit status, -1 after a signal, nothing if it still runs
  std::optional<int> WaitForExit(state::Duration timeout) {
    return this->process->WaitForExit(timeout);
  }
  /// \brief Reads the log up to the next event called `name`.
  /// \returns the log line; nothing if none arrives within `timeout`
  std::optional<nlohmann::json> WaitForEvent(const std::string& name,
                                             state::Duration timeout);
  bool IsReady();
  /// \brief Returns the value of a metric; -1 if it can't be read.
  double ReadMetric(const std::string& name) const;
  /// \brief Returns the most memory that was resident since its start.
  std::size_t PeakResidentKb() const;
  std::size_t ResidentKb() const;
  std::size_t OpenDescriptors() const;
  /// \brief Returns the processor time that it has used, in clock ticks.
  std::uint64_t ProcessorTicks() const;

 private:
  std::size_t ReadStatusKb(const std::string& field) const;

  const std::string id;
  const std::string log_file;
  standins::TemporaryFolder folder;
  state::Endpoint callers;
  state::Endpoint ready;
  state::Endpoint metrics;
  state::Endpoint peers;
  std::string settings_path;
  nlohmann::json settings;
  std::unique_ptr<standins::ChildProcess> process;
  std::size_t max_descriptors = 0;  // 0 for that of the test
};

/// \brief A route of idempotent requests to one service.
struct RelayedRoute {
  std::string prefix;
  std::string service;
};

/// \brief A store with routes, and the servers registered in it.
///
/// The service `desk` has the servers d1 and d2, with the routes /desk/
/// (idempotent) and /once/ (not idempotent). The services `shard0` and `shard1`
/// have one server each and are gathered under /all/.
class EdgeWorld {
 public:
  EdgeWorld();

  StoreStandIn& Store() { return this->store; }
  standins::FreePorts& Ports() { return this->ports; }
  ServerStandIn& Server(std::size_t index) { return *this->servers[index]; }
  const std::vector<std::unique_ptr<ServerStandIn>>& Servers() const {
    return this->servers;
  }
  /// \brief Returns how often the request `request_id` ran at all servers.
  std::size_t RunsOf(const std::string& request_id) const;
  /// \brief Registers a server, at `port` instead of its own unless 0.
  void Register(const ServerStandIn& server, std::uint16_t port = 0);
  /// \brief Registers the server `id` at an address.
  void Register(const std::string& id, std::uint16_t port);
  void PutRoutes(std::uint64_t version, std::size_t max_body_bytes = 8'192,
                 state::Duration header_timeout = state::Milliseconds(3'000));
  /// \brief Publishes the routes and further ones.
  void PutRoutesAnd(std::uint64_t version,
                    const std::vector<RelayedRoute>& added);
  /// \brief Publishes the routes with workspaces; /desk/ needs no key.
  void PutWorkspaces(std::uint64_t version, const nlohmann::json& workspaces);

  static constexpr const char* kHost = "desk.example";

 private:
  static nlohmann::json RoutesJson(std::uint64_t version,
                                   std::size_t max_body_bytes,
                                   state::Duration header_timeout);

  StoreStandIn store;
  standins::FreePorts ports;
  std::vector<std::unique_ptr<ServerStandIn>> servers;
};

/// \brief Waits until `condition` holds.
/// \returns false if it does not within 20 s
bool WaitFor(const std::function<bool()>& condition);

}  // namespace banyanknot::platform::edge_testing

#endif  // BANYANKNOT_TEST_PLATFORM_EDGE_EDGE_WORLD_H_
