#include "query_command.h"

#include <cstdint>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <optional>

#include "banyanknot/protocol/caller_codec.h"
#include "endpoint_list.h"

namespace banyanknot::ctl {
namespace {

constexpr state::Duration kReplyGrace = state::Milliseconds(2'000);
constexpr unsigned kHttpOk = 200;

}  // namespace

ExitStatus QueryCommand::Run(const std::vector<std::string>& arguments,
                             std::ostream& out, std::ostream& err) {
  std::optional<std::vector<state::Endpoint>> hosts;
  if (arguments.size() == 3 || arguments.size() == 4) {
    hosts = ParseEndpoints(arguments[0]);
  }
  const nlohmann::json ask =
      arguments.size() == 4
          ? nlohmann::json::parse(arguments[3], nullptr, false)
          : nlohmann::json();
  if (!hosts || hosts->size() != 1 || ask.is_discarded()) {
    err << "usage: " << this->Usage() << "\n";
    return ExitStatus::kUsage;
  }
  const std::int64_t deadline_ms = std::atoll(arguments[2].c_str());
  const nlohmann::json query = {
      {"service", arguments[1]}, {"deadline_ms", deadline_ms}, {"ask", ask}};
  const FetchResult result = this->client.Fetch(
      (*hosts)[0], {"POST", protocol::kQueryPath, query.dump()},
      state::Milliseconds(deadline_ms) + kReplyGrace);
  if (!state::IsOk(result)) {
    err << arguments[0] << ": " << NameOf(state::ErrorOf(result)) << "\n";
    return ExitStatus::kUnreachable;
  }
  out << state::ValueOf(result).body << "\n";
  return state::ValueOf(result).status == kHttpOk ? ExitStatus::kOk
                                                  : ExitStatus::kFault;
}

}  // namespace banyanknot::ctl
