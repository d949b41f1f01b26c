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

/// \brief One edge program, as a process of its own.
class EdgeProcess {
 public:
  /// \param log_file where its log is kept; empty for WaitForEvent()
  EdgeProcess(const std::string& id, const std::string& domain,
              const state::Endpoint& store, standins::FreePorts& ports,
              std::string log_file = "");

  const std::string& Id() const { return this->id; }
  const state::Endpoint& Callers() const { return this->callers; }
  const state::Endpoint& ReadyAddress() const { return this->ready; }
  const state::Endpoint& Metrics() const { return this->metrics; }
  const std::string& SettingsFile() const { return this->file; }

  void Start();
  void Signal(int number) const { this->process->Signal(number); }
  /// \returns its exit status, -1 for a signal, nothing if it still runs
  std::optional<int> WaitForExit(state::Duration timeout) {
    return this->process->WaitForExit(timeout);
  }
  /// \brief Reads its log on until an event of this name.
  /// \returns the line; nothing if it does not come within `timeout`
  std::optional<nlohmann::json> WaitForEvent(const std::string& name,
                                             state::Duration timeout);
  bool IsReady();

 private:
  const std::string id;
  const std::string log_file;
  standins::TemporaryFolder folder;
  state::Endpoint callers;
  state::Endpoint ready;
  state::Endpoint metrics;
  std::string file;
  std::unique_ptr<standins::ChildProcess> process;
};

/// \brief A store, servers and routes, and the values that describe them.
///
/// The service `desk` has servers d1 and d2, relayed to under /desk/ (may be
/// repeated) and /once/ (may not); shard0 and shard1 have a server each,
/// gathered under /all/.
class EdgeWorld {
 public:
  EdgeWorld();

  StoreStandIn& Store() { return this->store; }
  standins::FreePorts& Ports() { return this->ports; }
  ServerStandIn& Server(std::size_t index) { return *this->servers[index]; }
  const std::vector<std::unique_ptr<ServerStandIn>>& Servers() const {
    return this->servers;
  }
  /// \brief Registers a server, at another port if one is given.
  void Register(const ServerStandIn& server, std::uint16_t port = 0);
  void PutRoutes(std::uint64_t version);

  static constexpr const char* kHost = "desk.example";

 private:
  StoreStandIn store;
  standins::FreePorts ports;
  std::vector<std::unique_ptr<ServerStandIn>> servers;
};

/// \brief Waits until `condition` holds.
/// \returns false if it does not within a generous bound
bool WaitFor(const std::function<bool()>& condition);

}  // namespace banyanknot::platform::edge_testing

#endif  // BANYANKNOT_TEST_PLATFORM_EDGE_EDGE_WORLD_H_
