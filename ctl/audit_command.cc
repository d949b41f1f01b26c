#include "audit_command.h"

#include <nlohmann/json.hpp>

#include "banyanknot/protocol/operator_codec.h"

namespace banyanknot::ctl {

std::string AuditCommand::Target(
    const std::vector<std::string>& /*extra_arguments*/) const {
  return protocol::kAuditPath;
}

void AuditCommand::Print(const state::Endpoint& host, const std::string& body,
                         std::ostream& out) const {
  const nlohmann::ordered_json audit =
      nlohmann::ordered_json::parse(body, nullptr, false);
  if (!audit.is_object() || !audit.contains("events")) return;
  for (nlohmann::ordered_json event : audit["events"]) {
    event["host"] = ToText(host);
    out << event.dump() << "\n";
  }
}

}  // namespace banyanknot::ctl
