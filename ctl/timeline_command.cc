#include "timeline_command.h"

#include "state_change.h"

namespace banyanknot::ctl {
namespace {

/// Above this, the text output gives the number of hosts instead of names.
constexpr std::size_t kMaxNamedHosts = 3;
/// Changes within this time are taken to have one cause, such as one response
/// of the source, and are printed as one line.
constexpr std::int64_t kGroupingWindowMs = 100;

std::string FormatHosts(const std::set<std::string>& hosts) {
  if (hosts.size() > kMaxNamedHosts) {
    return std::to_string(hosts.size()) + " hosts";
  }
  std::string names;
  for (const std::string& host : hosts) {
    if (!names.empty()) names += ",";
    names += host;
  }
  return names;
}

/// Tells whether two changes differ in their subject alone, close in time.
bool CanGroup(const StateChange& left, const StateChange& right) {
  return left.event == right.event && left.hosts == right.hosts &&
         left.missing == right.missing &&
         right.first_ms - left.first_ms <= kGroupingWindowMs;
}

/// \param omitted number of further changes in the same group
void PrintText(const StateChange& change, std::size_t omitted,
               std::ostream& out) {
  out << (change.missing.empty() ? "  " : "! ") << change.first_time << " "
      << change.event;
  if (!change.subject.empty()) out << " " << change.subject;
  if (omitted > 0) out << " and " << omitted << " more";
  out << " on " << FormatHosts(change.hosts);
  if (change.last_ms > change.first_ms) {
    out << " within " << change.last_ms - change.first_ms << " ms";
  }
  if (!change.missing.empty()) {
    out << ", not on " << FormatHosts(change.missing);
  }
  out << "\n";
}

void PrintJson(const StateChange& change, std::ostream& out) {
  out << nlohmann::ordered_json{{"time", change.first_time},
                                {"scope",
                                 std::string(state::FindName(kChangeScopeNames,
                                                             change.scope))},
                                {"event", change.event},
                                {"subject", change.subject},
                                {"spread_ms", change.last_ms - change.first_ms},
                                {"hosts", change.hosts},
                                {"missing", change.missing}}
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
  const std::vector<StateChange> changes = FindStateChanges(*lines);
  for (std::size_t first = 0; first < changes.size();) {
    std::size_t next = first + 1;
    if (this->options.as_json) {
      PrintJson(changes[first], out);
    } else {
      while (next < changes.size() && CanGroup(changes[first], changes[next])) {
        ++next;
      }
      PrintText(changes[first], next - first - 1, out);
    }
    first = next;
  }
  return ExitStatus::kOk;
}

}  // namespace banyanknot::ctl
