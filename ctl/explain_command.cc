#include "explain_command.h"

#include <nlohmann/json.hpp>

#include "banyanknot/protocol/operator_codec.h"

namespace banyanknot::ctl {

std::string ExplainCommand::Target(
    const std::vector<std::string>& extra_arguments) const {
  return std::string(protocol::kExplainPath) + "?service=" + extra_arguments[0];
}

void ExplainCommand::Print(const state::Endpoint& host, const std::string& body,
                           std::ostream& out) const {
  using nlohmann::ordered_json;
  const ordered_json explanation = ordered_json::parse(body, nullptr, false);
  if (!explanation.is_object() || !explanation.contains("shards")) return;
  for (const ordered_json& shard : explanation["shards"]) {
    for (const ordered_json& replica : shard["replicas"]) {
      out << ToText(host) << " shard=" << shard["shard"] << " ["
          << shard["begin"] << "," << shard["end"] << ") " << replica.dump()
          << "\n";
    }
  }
}

}  // namespace banyanknot::ctl
