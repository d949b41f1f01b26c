#include "timeline_command.h"

#include "belief.h"

namespace banyanknot::ctl {
namespace {

/// More hosts than this are counted, not named.
constexpr std::size_t kMostNamedHosts = 3;
/// Beliefs that come within this time from one step of the same cause, such as
/// one answer of the source.
constexpr std::int64_t kStepMs = 100;

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

/// Tells whether two beliefs differ in their subject alone.
bool IsOneStep(const Belief& left, const Belief& right) {
  return left.event == right.event && left.hosts == right.hosts &&
         left.missing == right.missing &&
         right.first_ms - left.first_ms <= kStepMs;
}

/// \param more beliefs of the same step that are not printed
void PrintText(const Belief& belief, std::size_t more, std::ostream& out) {
  out << (belief.missing.empty() ? "  " : "! ") << belief.first_time << " "
      << belief.event;
  if (!belief.subject.empty()) out << " " << belief.subject;
  if (more > 0) out << " and " << more << " more";
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
  const std::vector<Belief> beliefs = FindBeliefs(*lines);
  for (std::size_t first = 0; first < beliefs.size();) {
    std::size_t next = first + 1;
    if (this->options.as_json) {
      PrintJson(beliefs[first], out);
    } else {
      while (next < beliefs.size() &&
             IsOneStep(beliefs[first], beliefs[next])) {
        ++next;
      }
      PrintText(beliefs[first], next - first - 1, out);
    }
    first = next;
  }
  return ExitStatus::kOk;
}

}  // namespace banyanknot::ctl
