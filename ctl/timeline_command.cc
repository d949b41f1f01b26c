#include "timeline_command.h"

#include "belief.h"

namespace banyanknot::ctl {
namespace {

/// More hosts than this are counted, not named.
constexpr std::size_t kMostNamedHosts = 3;

std::string NamesOf(const std::set<std::string>& hosts) {
  if (hosts.size() > kMostNamedHosts) {
    return std::to_string(hosts.size()) + " hosts";
  }
  std::string names;
  for (const std::string& host : hosts) {
    if (!names.empty()) names += ",";
    names += host;
  }
  return names;
}

void PrintText(const Belief& belief, std::ostream& out) {
  out << (belief.missing.empty() ? "  " : "! ") << belief.first_time << " "
      << belief.event;
  if (!belief.subject.empty()) out << " " << belief.subject;
  out << " on " << NamesOf(belief.hosts);
  if (belief.last_ms > belief.first_ms) {
    out << " within " << belief.last_ms - belief.first_ms << " ms";
  }
  if (!belief.missing.empty()) out << ", not on " << NamesOf(belief.missing);
  out << "\n";
}

void PrintJson(const Belief& belief, std::ostream& out) {
  out << nlohmann::ordered_json{{"time", belief.first_time},
                                {"scope",
                                 std::string(state::FindName(kBeliefScopeNames,
                                                             belief.scope))},
                                {"event", belief.event},
                                {"subject", belief.subject},
                                {"spread_ms", belief.last_ms - belief.first_ms},
                                {"hosts", belief.hosts},
                                {"missing", belief.missing}}
             .dump()
      << "\n";
}

}  // namespace

ExitStatus TimelineCommand::Run(const std::vector<std::string>& arguments,
                                std::ostream& out, std::ostream& err) {
  if (arguments.empty()) {
    err << "usage: " << this->Usage() << "\n";
    return ExitStatus::kUsage;
  }
  const std::optional<std::vector<LogLine>> lines =
      ReadLogFiles(arguments, this->options, err);
  if (!lines) return ExitStatus::kUsage;
  for (const Belief& belief : FindBeliefs(*lines)) {
    if (this->options.as_json) {
      PrintJson(belief, out);
    } else {
      PrintText(belief, out);
    }
  }
  return ExitStatus::kOk;
}

}  // namespace banyanknot::ctl
