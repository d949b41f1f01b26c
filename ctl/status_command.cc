#include "status_command.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>

#include "banyanknot/protocol/operator_codec.h"

namespace banyanknot::ctl {
namespace {

using nlohmann::json;

/// Formats the number of objects for each value of `member`.
std::string CountBy(const json& list, const char* member) {
  std::map<std::string, std::size_t> counts;
  for (const json& item : list) ++counts[item.value(member, "?")];
  std::string text;
  for (const auto& [name, count] : counts) {
    text += (text.empty() ? "" : ",") + name + ":" + std::to_string(count);
  }
  return text.empty() ? "none" : text;
}

std::uint64_t MaxRevision(const json& catalogue) {
  std::uint64_t revision = 0;
  for (const json& entry : catalogue) {
    revision = std::max(revision, entry.value("revision", std::uint64_t{0}));
  }
  return revision;
}

}  // namespace

std::string StatusCommand::Target(
    const std::vector<std::string>& /*extra_arguments*/) const {
  return protocol::kStatusPath;
}

void StatusCommand::Print(const state::Endpoint& host, const std::string& body,
                          std::ostream& out) const {
  const json status = json::parse(body, nullptr, false);
  if (!status.is_object()) {
    out << ToText(host) << " sent no JSON object\n";
    return;
  }
  const json none = json::array();
  out << status.value("host", "?") << " " << ToText(host)
      << " domain=" << status.value("domain", "?")
      << " ready=" << (status.value("ready", false) ? "yes" : "no")
      << " revision=" << MaxRevision(status.value("catalogue", none))
      << " in_flight=" << status.value("queries_in_flight", 0)
      << " hosts=" << CountBy(status.value("hosts", none), "state")
      << " servers=" << CountBy(status.value("servers", none), "phase") << "\n";
}

}  // namespace banyanknot::ctl
