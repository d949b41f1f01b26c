#ifndef BANYANKNOT_STANDINS_DEPLOYMENT_H_
#define BANYANKNOT_STANDINS_DEPLOYMENT_H_

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "banyanknot/state/endpoint.h"
#include "blocking_http_client.h"
#include "child_process.h"
#include "fault_proxy.h"
#include "free_ports.h"
#include "temporary_folder.h"

namespace banyanknot::standins {

/// \brief What a Deployment starts.
struct DeploymentPlan {
  std::string program_folder;    ///< where the built programs are
  nlohmann::json catalogue;      ///< entry key to entry
  nlohmann::json backends;       ///< `{"defaults", "servers"}`
  nlohmann::json hosts;          ///< `{"hosts": [{"id", "domain", ...}]}`
  nlohmann::json host_settings;  ///< members put into every host's settings
  bool use_proxy = false;        ///< puts a FaultProxy before all but hosts'
                                 ///< caller ports
};

/// \brief Reads a plan from a folder such as examples/mantaro.
DeploymentPlan ReadPlan(const std::string& program_folder,
                        const std::string& example_folder);

/// \brief One entry host that a Deployment runs.
struct DeployedHost {
  std::string id;
  std::string domain;
  state::Endpoint caller;
  state::Endpoint peer;
  std::string settings_file;
  std::unique_ptr<ChildProcess> process;
};

/// \brief A FaultProxy and what it runs on.
struct ProxyParts {
  ProxyParts();
  ~ProxyParts();

  transport::IoThreads threads;
  AddressSourceLocator locator;
  coordination::SeededRandomSource random;
  FaultProxy proxy;
};

/// \brief A platform, backend servers and entry hosts, as real processes on
/// loopback, on free ports; all end with this object.
///
/// Not thread-safe. For tests, the demo and measures.
class Deployment {
 public:
  explicit Deployment(DeploymentPlan plan);
  ~Deployment();

  /// \brief Starts everything and waits until all hosts are ready.
  /// \returns what went wrong; empty if nothing did
  std::string Start();

  /// \brief Starts a host again after its process has ended.
  bool StartHost(DeployedHost& host);

  /// \brief Waits until a host says that it is ready.
  bool WaitForReady(const DeployedHost& host, state::Duration bound);

  std::vector<DeployedHost>& Hosts() { return this->hosts; }
  DeployedHost& HostIn(const std::string& domain);
  std::vector<state::Endpoint> CallerEndpoints() const;
  const state::Endpoint& Platform() const { return this->platform; }

  /// \brief The catalogue as it is published now.
  const nlohmann::json& Catalogue() const { return this->plan.catalogue; }

  /// \brief Publishes an entry on the platform stand-in.
  /// \returns its revision; 0 if the platform did not take it
  std::uint64_t Publish(const std::string& key, const nlohmann::json& entry);

  /// \brief Takes a failure domain `"in"` or `"out"`.
  bool SetDomainState(const std::string& domain, const std::string& state);

  /// \brief Publishes the list of hosts, with their leaving marks.
  bool PublishHosts(const std::vector<std::string>& leaving);

  /// \brief Changes backend stand-ins: an id, or `*` for all.
  bool ChangeBackend(const std::string& pattern, const nlohmann::json& value);

  /// \brief `/admin/counters` of the backend stand-ins.
  nlohmann::json BackendCounters();

  /// \brief Sub-requests that all stand-ins have started.
  std::uint64_t StartedSubRequests();

  /// \brief Sends an administration request to the platform stand-in.
  bool ChangePlatform(const std::string& target, const nlohmann::json& value);
  BlockingHttpClient& Client() { return this->client; }

  /// \brief The proxy; its routes are `server/ID`, `platform/DOMAIN` and
  /// `peer/HOST`, its domains those of the hosts and `platform`.
  /// \pre the plan asks for it
  FaultProxy& Proxy();

  /// \brief The last lines that processes wrote to standard error.
  std::string Errors() const;

 private:
  std::string StartBackends();
  std::string StartPlatform();
  std::string StartHosts();
  void SetBackendPorts(const nlohmann::json& ports);
  nlohmann::json HostListJson(const std::vector<std::string>& leaving) const;
  std::string WriteFile(const std::string& name, const nlohmann::json& value);
  std::string Program(const std::string& name) const;
  std::uint16_t RoutePort(const ProxyRoute& route);
  state::Endpoint PlatformFor(const std::string& domain);

  DeploymentPlan plan;
  TemporaryFolder folder;
  FreePorts free_ports;
  BlockingHttpClient client;
  state::Endpoint backend_admin;
  state::Endpoint platform;
  std::unique_ptr<ProxyParts> proxy;
  std::map<std::string, state::Endpoint> platform_routes;  // by domain
  std::map<std::string, std::uint16_t> peer_routes;        // by host
  std::unique_ptr<ChildProcess> backend_process;
  std::unique_ptr<ChildProcess> platform_process;
  std::vector<DeployedHost> hosts;
};

}  // namespace banyanknot::standins

#endif  // BANYANKNOT_STANDINS_DEPLOYMENT_H_
