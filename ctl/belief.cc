#include "belief.h"

#include <algorithm>
#include <map>
#include <string_view>

namespace banyanknot::ctl {
namespace {

using coordination::EventCode;

/// Longest time between two hosts that say the same: what is in force must be
/// so everywhere within 6 s.
constexpr std::int64_t kTogetherMs = 6'000;

/// An event that changes a belief, and the fields that say about what.
struct BeliefRow {
  EventCode event;
  BeliefScope scope;
  std::array<std::string_view, 4> subject;
};

constexpr std::array<BeliefRow, 16> kBeliefRows{{
    {EventCode::kRoutesInForce, BeliefScope::kFleet, {"version"}},
    {EventCode::kDomainState,
     BeliefScope::kFleet,
     {"subject", "detail", "domain", "state"}},
    {EventCode::kEntryAccepted, BeliefScope::kFleet, {"subject", "revision"}},
    {EventCode::kEntryDeleted, BeliefScope::kFleet, {"subject", "revision"}},
    {EventCode::kServerRemoved, BeliefScope::kFleet, {"server", "service"}},
    {EventCode::kServerDoubted, BeliefScope::kHost, {"server", "doubt"}},
    {EventCode::kServerPhase, BeliefScope::kHost, {"subject", "detail"}},
    {EventCode::kHostState, BeliefScope::kHost, {"subject", "detail"}},
    {EventCode::kSourceLost, BeliefScope::kHost, {"failure"}},
    {EventCode::kSourceRegained, BeliefScope::kHost, {}},
    {EventCode::kReachLost, BeliefScope::kHost, {}},
    {EventCode::kReachRegained, BeliefScope::kHost, {}},
    {EventCode::kHostStarting, BeliefScope::kHost, {}},
    {EventCode::kHostReady, BeliefScope::kHost, {}},
    {EventCode::kHostStopping, BeliefScope::kHost, {}},
    {EventCode::kHostStopped, BeliefScope::kHost, {}},
}};

const BeliefRow* FindRow(const LogLine& line) {
  const auto found = std::find_if(
      kBeliefRows.begin(), kBeliefRows.end(),
      [&line](const BeliefRow& row) { return line.Is(row.event); });
  return found == kBeliefRows.end() ? nullptr : &*found;
}

std::string SubjectOf(const BeliefRow& row, const LogLine& line) {
  std::string subject;
  for (const std::string_view field : row.subject) {
    const std::string value = field.empty() ? "" : line.Field(field);
    if (value.empty()) continue;
    if (!subject.empty()) subject += " ";
    subject += value;
  }
  return subject;
}

/// When each host ran, as far as its log tells.
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

  /// The hosts that ran all along from `first_ms` to `last_ms`.
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

class BeliefCollector {
 public:
  void Add(const BeliefRow& row, const LogLine& line) {
    const std::string subject = SubjectOf(row, line);
    const std::string key = line.name + " " + subject;
    const auto open = this->latest.find(key);
    if (open != this->latest.end()) {
      Belief& belief = this->beliefs[open->second];
      const bool is_same = line.unix_ms - belief.last_ms <= kTogetherMs &&
                           belief.hosts.count(line.host) == 0;
      if (is_same) {
        belief.hosts.insert(line.host);
        belief.last_ms = line.unix_ms;
        return;
      }
    }
    this->latest[key] = this->beliefs.size();
    Belief belief;
    belief.scope = row.scope;
    belief.event = line.name;
    belief.subject = subject;
    belief.first_time = line.time;
    belief.first_ms = belief.last_ms = line.unix_ms;
    belief.hosts.insert(line.host);
    this->beliefs.push_back(std::move(belief));
  }

  std::vector<Belief> Take(const Lifetimes& lifetimes) {
    for (Belief& belief : this->beliefs) {
      if (belief.scope != BeliefScope::kFleet) continue;
      belief.missing =
          lifetimes.Running(belief.first_ms, belief.first_ms + kTogetherMs);
      for (const std::string& host : belief.hosts) belief.missing.erase(host);
    }
    return std::move(this->beliefs);
  }

 private:
  std::vector<Belief> beliefs;
  std::map<std::string, std::size_t> latest;  // by event and subject
};

}  // namespace

std::vector<Belief> FindBeliefs(const std::vector<LogLine>& lines) {
  BeliefCollector collector;
  for (const LogLine& line : lines) {
    const BeliefRow* row = FindRow(line);
    if (row != nullptr) collector.Add(*row, line);
  }
  return collector.Take(Lifetimes(lines));
}

}  // namespace banyanknot::ctl
