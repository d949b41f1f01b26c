#include "state_change.h"

#include <algorithm>
#include <map>
#include <string_view>

namespace banyanknot::ctl {
namespace {

using coordination::EventCode;

/// Max. time between hosts that log the same change: a change must be in force
/// on all hosts within 6 s.
constexpr std::int64_t kMaxConvergenceMs = 6'000;

/// An event that is a state change, and the log fields that form its subject.
struct StateChangeEvent {
  EventCode event;
  ChangeScope scope;
  std::array<std::string_view, 4> subject;
};

constexpr std::array<StateChangeEvent, 16> kStateChangeEvents{{
    {EventCode::kRoutesInForce, ChangeScope::kFleet, {"version"}},
    {EventCode::kDomainState,
     ChangeScope::kFleet,
     {"subject", "detail", "domain", "state"}},
    {EventCode::kEntryAccepted, ChangeScope::kFleet, {"subject", "revision"}},
    {EventCode::kEntryDeleted, ChangeScope::kFleet, {"subject", "revision"}},
    {EventCode::kServerRemoved, ChangeScope::kFleet, {"server", "service"}},
    {EventCode::kServerDoubted, ChangeScope::kHost, {"server", "doubt"}},
    {EventCode::kServerPhase, ChangeScope::kHost, {"subject", "detail"}},
    {EventCode::kHostState, ChangeScope::kHost, {"subject", "detail"}},
    {EventCode::kSourceLost, ChangeScope::kHost, {"failure"}},
    {EventCode::kSourceRegained, ChangeScope::kHost, {}},
    {EventCode::kReachLost, ChangeScope::kHost, {}},
    {EventCode::kReachRegained, ChangeScope::kHost, {}},
    {EventCode::kHostStarting, ChangeScope::kHost, {}},
    {EventCode::kHostReady, ChangeScope::kHost, {}},
    {EventCode::kHostStopping, ChangeScope::kHost, {}},
    {EventCode::kHostStopped, ChangeScope::kHost, {}},
}};

const StateChangeEvent* FindEvent(const LogLine& line) {
  const auto found = std::find_if(
      kStateChangeEvents.begin(), kStateChangeEvents.end(),
      [&line](const StateChangeEvent& row) { return line.Is(row.event); });
  return found == kStateChangeEvents.end() ? nullptr : &*found;
}

std::string SubjectOf(const StateChangeEvent& row, const LogLine& line) {
  std::string subject;
  for (const std::string_view field : row.subject) {
    const std::string value = field.empty() ? "" : line.Field(field);
    if (value.empty()) continue;
    if (!subject.empty()) subject += " ";
    subject += value;
  }
  return subject;
}

/// Time spans in which each host ran, as far as its log shows.
class Lifetimes {
 public:
  explicit Lifetimes(const std::vector<LogLine>& lines) {
    for (const LogLine& line : lines) {
      std::vector<Span>& spans = this->spans[line.host];
      if (spans.empty() || line.Is(EventCode::kHostStarting)) {
        spans.push_back({line.unix_ms, line.unix_ms});
      }
      spans.back().last_ms = line.unix_ms;
    }
  }

  /// Returns the hosts that ran without a restart from `first_ms` to `last_ms`.
  std::set<std::string> Running(std::int64_t first_ms,
                                std::int64_t last_ms) const {
    std::set<std::string> running;
    for (const auto& [host, host_spans] : this->spans) {
      const bool ran = std::any_of(host_spans.begin(), host_spans.end(),
                                   [first_ms, last_ms](const Span& span) {
                                     return span.first_ms <= first_ms &&
                                            span.last_ms >= last_ms;
                                   });
      if (ran) running.insert(host);
    }
    return running;
  }

 private:
  struct Span {
    std::int64_t first_ms = 0;
    std::int64_t last_ms = 0;
  };
  std::map<std::string, std::vector<Span>> spans;
};

/// Merges log lines of the same change into one StateChange.
class StateChangeCollector {
 public:
  void Add(const StateChangeEvent& row, const LogLine& line) {
    const std::string subject = SubjectOf(row, line);
    const std::string key = line.name + " " + subject;
    const auto latest = this->latest_by_key.find(key);
    if (latest != this->latest_by_key.end()) {
      StateChange& change = this->changes[latest->second];
      const bool is_same = line.unix_ms - change.last_ms <= kMaxConvergenceMs &&
                           change.hosts.count(line.host) == 0;
      if (is_same) {
        change.hosts.insert(line.host);
        change.last_ms = line.unix_ms;
        return;
      }
    }
    this->latest_by_key[key] = this->changes.size();
    StateChange change;
    change.scope = row.scope;
    change.event = line.name;
    change.subject = subject;
    change.first_time = line.time;
    change.first_ms = change.last_ms = line.unix_ms;
    change.hosts.insert(line.host);
    this->changes.push_back(std::move(change));
  }

  std::vector<StateChange> Finish(const Lifetimes& lifetimes) {
    for (StateChange& change : this->changes) {
      if (change.scope != ChangeScope::kFleet) continue;
      change.missing = lifetimes.Running(change.first_ms,
                                         change.first_ms + kMaxConvergenceMs);
      for (const std::string& host : change.hosts) change.missing.erase(host);
    }
    return std::move(this->changes);
  }

 private:
  std::vector<StateChange> changes;
  std::map<std::string, std::size_t> latest_by_key;  // by event and subject
};

}  // namespace

std::vector<StateChange> FindStateChanges(const std::vector<LogLine>& lines) {
  StateChangeCollector collector;
  for (const LogLine& line : lines) {
    const StateChangeEvent* row = FindEvent(line);
    if (row != nullptr) collector.Add(*row, line);
  }
  return collector.Finish(Lifetimes(lines));
}

}  // namespace banyanknot::ctl
