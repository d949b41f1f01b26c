#include "read_command.h"

#include <algorithm>
#include <optional>

#include "endpoint_list.h"

namespace banyanknot::ctl {
namespace {

constexpr state::Duration kTimeout = state::Milliseconds(3'000);
constexpr unsigned kHttpOk = 200;

}  // namespace

ExitStatus ReadCommand::Run(const std::vector<std::string>& arguments,
                            std::ostream& out, std::ostream& err) {
  std::optional<std::vector<state::Endpoint>> hosts;
  if (arguments.size() == 1 + this->ExtraArguments()) {
    hosts = ParseEndpoints(arguments[0]);
  }
  if (!hosts) {
    err << "usage: " << this->Usage() << "\n";
    return ExitStatus::kUsage;
  }
  const std::string target =
      this->Target({arguments.begin() + 1, arguments.end()});
  ExitStatus worst = ExitStatus::kOk;
  for (const state::Endpoint& host : *hosts) {
    worst = std::max(worst, this->ReadOne(host, target, out, err));
  }
  return worst;
}

ExitStatus ReadCommand::ReadOne(const state::Endpoint& host,
                                const std::string& target, std::ostream& out,
                                std::ostream& err) {
  const FetchResult result =
      this->client.Fetch(host, {"GET", target, ""}, kTimeout);
  if (!state::IsOk(result)) {
    err << ToText(host) << ": " << NameOf(state::ErrorOf(result)) << "\n";
    return ExitStatus::kUnreachable;
  }
  const protocol::HttpResponse& response = state::ValueOf(result);
  if (response.status != kHttpOk) {
    err << ToText(host) << ": status " << response.status << " "
        << response.body << "\n";
    return ExitStatus::kFault;
  }
  this->Print(host, response.body, out);
  return ExitStatus::kOk;
}

}  // namespace banyanknot::ctl
