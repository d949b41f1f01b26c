#include <gflags/gflags.h>

#include <cstdio>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

#include "banyanknot/protocol/platform_codec.h"
#include "blocking_http_client.h"
#include "load_generator.h"

DEFINE_string(mix, "", "JSON file with the rate and the mix of requests");
DEFINE_string(hosts, "", "JSON file with the host list");
DEFINE_string(backend_admin, "", "ADDRESS:PORT of the stand-ins' counters");
DEFINE_int32(seconds, 10, "how long to offer load");
DEFINE_int32(rate, 0, "requests a second; 0 takes the file's");
DEFINE_int32(seed, 0, "seed of the arrivals; 0 takes the file's");

namespace {

using banyanknot::standins::BlockingHttpClient;
using banyanknot::standins::LoadSettings;
namespace state = banyanknot::state;

nlohmann::json ReadFile(const std::string& file) {
  std::ifstream stream(file);
  return nlohmann::json::parse(stream, nullptr, false);
}

std::vector<state::Endpoint> ReadHosts() {
  std::vector<state::Endpoint> endpoints;
  const state::Result<std::vector<state::ListedHost>,
                      banyanknot::protocol::ProtocolError>
      hosts =
          banyanknot::protocol::DecodeHostList(ReadFile(FLAGS_hosts).dump());
  if (!state::IsOk(hosts)) return endpoints;
  for (const state::ListedHost& host : state::ValueOf(hosts)) {
    endpoints.push_back(host.caller);
  }
  return endpoints;
}

nlohmann::json ReadCounters(BlockingHttpClient& client) {
  const std::size_t colon = FLAGS_backend_admin.find(':');
  if (colon == std::string::npos) return nlohmann::json::object();
  const state::Endpoint admin{FLAGS_backend_admin.substr(0, colon),
                              static_cast<std::uint16_t>(std::stoul(
                                  FLAGS_backend_admin.substr(colon + 1)))};
  return client.CallForJson(admin, "GET", "/admin/counters", "")
      .value_or(nlohmann::json::object());
}

std::uint64_t Started(const nlohmann::json& counters) {
  std::uint64_t started = 0;
  for (const nlohmann::json& server :
       counters.value("servers", nlohmann::json::object())) {
    started += server["started"].get<std::uint64_t>();
  }
  return started;
}

int Run(const LoadSettings& settings,
        const std::vector<state::Endpoint>& hosts) {
  BlockingHttpClient client(state::Milliseconds(5'000));
  const std::uint64_t started_before = Started(ReadCounters(client));
  banyanknot::standins::LoadGenerator load(settings, hosts);
  load.Start();
  std::this_thread::sleep_for(std::chrono::seconds(FLAGS_seconds));
  load.Stop();
  const nlohmann::json counters = ReadCounters(client);
  const banyanknot::standins::LoadReport report =
      load.Report(counters.value("actions", nlohmann::json::object()));
  if (!report.first_complaint.empty()) {
    std::fprintf(stderr, "%s\n", report.first_complaint.c_str());
  }
  const std::uint64_t started = Started(counters) - started_before;
  std::printf("%s\n", report.ToJson(started).dump().c_str());
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage("Offers an open loop of requests to entry hosts.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const state::Result<LoadSettings, banyanknot::protocol::ProtocolError> read =
      banyanknot::standins::ReadLoadSettings(ReadFile(FLAGS_mix));
  if (!state::IsOk(read)) {
    std::fprintf(stderr, "%s:%s: %s\n", FLAGS_mix.c_str(),
                 state::ErrorOf(read).pointer.c_str(),
                 state::ErrorOf(read).reason.c_str());
    return 2;
  }
  LoadSettings settings = state::ValueOf(read);
  if (FLAGS_rate > 0) settings.rate = static_cast<std::uint64_t>(FLAGS_rate);
  if (FLAGS_seed > 0) settings.seed = static_cast<std::uint64_t>(FLAGS_seed);
  const std::vector<state::Endpoint> hosts = ReadHosts();
  if (hosts.empty()) {
    std::fprintf(stderr, "%s: no hosts\n", FLAGS_hosts.c_str());
    return 2;
  }
  return Run(settings, hosts);
}
