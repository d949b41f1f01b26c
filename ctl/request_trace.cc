#include "request_trace.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <sstream>

#include "banyanknot/state/routing/relay_outcome.h"
#include "banyanknot/state/routing/relay_reason.h"

namespace banyanknot::ctl {
namespace {

/// Window around a request in which events of its servers may explain it: a
/// suspicion is cleared, or a deferred entry removed, within it.
constexpr std::int64_t kContextBeforeMs = 10'000;
constexpr std::int64_t kContextAfterMs = 2'000;

using coordination::EventCode;
using state::RelayOutcome;
using state::RelayReason;

/// Explanation of a RelayReason, or of a RelayOutcome that has no reason.
template <typename Enum>
struct Meaning {
  Enum value;
  std::string_view text;
};

constexpr std::array<Meaning<RelayReason>, 7> kReasonMeanings{{
    {RelayReason::kNoUsableServer,
     "nothing was sent: too many of its services had no server that may get "
     "work"},
    {RelayReason::kNoCapacityInTime,
     "nothing would have been served in time: all servers were taken and the "
     "line too long"},
    {RelayReason::kMinCoverageUnreachable,
     "so many shards failed that the least answer was out of reach"},
    {RelayReason::kServersGone,
     "the servers that it still waited for were found to be gone"},
    {RelayReason::kServersFailed,
     "each server that might be asked failed or refused"},
    {RelayReason::kDeadline,
     "the deadline came before enough servers had answered"},
    {RelayReason::kCallerLeft, "the caller closed its connection first"},
}};

constexpr std::array<Meaning<RelayOutcome>, 3> kOutcomeMeanings{{
    {RelayOutcome::kPartial,
     "the objective came before the shards that are missing"},
    {RelayOutcome::kNotConfigured, "the host had no routes yet"},
    {RelayOutcome::kNoRoute, "no route of the version in force matched"},
}};

template <typename Enum, std::size_t kSize>
std::string MeaningOf(const std::array<Meaning<Enum>, kSize>& meanings,
                      const std::string& name) {
  for (const Meaning<Enum>& meaning : meanings) {
    if (NameOf(meaning.value) != name) continue;
    return name + ": " + std::string(meaning.text);
  }
  return "";
}

std::string ExplanationOf(const LogLine& line) {
  const std::string explanation =
      MeaningOf(kReasonMeanings, line.Field("reason"));
  return explanation.empty()
             ? MeaningOf(kOutcomeMeanings, line.Field("outcome"))
             : explanation;
}

/// Returns the services and servers in the field "missing" of a request.
std::set<std::string> MissingNames(const LogLine& line) {
  std::string text = line.Field("missing");
  std::replace(text.begin(), text.end(), ',', ' ');
  std::replace(text.begin(), text.end(), '@', ' ');
  std::istringstream words(text);
  std::set<std::string> names;
  std::string name;
  while (words >> name) names.insert(name);
  return names;
}

/// Tells whether a line changes the state of its host until the next event of
/// the same group.
bool IsHostStateEvent(const LogLine& line) {
  constexpr std::array<EventCode, 8> kEvents = {
      EventCode::kRoutesInForce,  EventCode::kSourceLost,
      EventCode::kSourceRegained, EventCode::kReachLost,
      EventCode::kReachRegained,  EventCode::kHostStarting,
      EventCode::kHostReady,      EventCode::kHostStopping};
  return std::any_of(kEvents.begin(), kEvents.end(),
                     [&line](EventCode event) { return line.Is(event); });
}

/// Returns the first word of the event name, which is the same for an event and
/// its opposite, such as source_lost and source_regained.
std::string EventGroupOf(const LogLine& line) {
  return line.name.substr(0, line.name.find('_'));
}

/// Selects the log lines that concern one request.
class RequestTraceBuilder {
 public:
  RequestTraceBuilder(std::string_view request,
                      const std::vector<LogLine>& lines)
      : request(request), lines(lines) {}

  RequestTrace Build() {
    for (std::size_t index = 0; index < this->lines.size(); ++index) {
      if (this->lines[index].Field("request") == this->request) {
        this->AddRequestLine(index);
      }
    }
    RequestTrace trace;
    for (const std::size_t index : this->selected) {
      trace.lines.push_back(this->lines[index]);
    }
    trace.explanations = std::move(this->explanations);
    return trace;
  }

 private:
  void AddRequestLine(std::size_t request_index) {
    const LogLine& line = this->lines[request_index];
    this->selected.insert(request_index);
    const std::string explanation = ExplanationOf(line);
    if (!explanation.empty()) this->explanations.push_back(explanation);
    this->AddPrecedingHostState(request_index);
    const std::set<std::string> missing = MissingNames(line);
    for (std::size_t index = 0; index < this->lines.size(); ++index) {
      if (this->IsRelated(this->lines[index], line, missing)) {
        this->selected.insert(index);
      }
    }
  }

  /// Selects the last line of each event group before the request, on its host.
  void AddPrecedingHostState(std::size_t request_index) {
    std::map<std::string, std::size_t> last_by_group;
    for (std::size_t index = 0; index < request_index; ++index) {
      const LogLine& line = this->lines[index];
      if (line.host != this->lines[request_index].host) continue;
      if (line.Is(EventCode::kDomainState)) {
        last_by_group["domain " + line.Field("subject") +
                      line.Field("domain")] = index;
      } else if (IsHostStateEvent(line)) {
        last_by_group[EventGroupOf(line)] = index;
      }
    }
    for (const auto& [group, index] : last_by_group) {
      this->selected.insert(index);
    }
  }

  bool IsRelated(const LogLine& line, const LogLine& request_line,
                 const std::set<std::string>& missing) const {
    if (line.host != request_line.host ||
        line.unix_ms < request_line.unix_ms - kContextBeforeMs ||
        line.unix_ms > request_line.unix_ms + kContextAfterMs) {
      return false;
    }
    return missing.count(line.Field("server")) > 0 ||
           missing.count(line.Field("service")) > 0;
  }

  const std::string_view request;
  const std::vector<LogLine>& lines;
  std::set<std::size_t> selected;
  std::vector<std::string> explanations;
};

}  // namespace

RequestTrace FindRequestTrace(std::string_view request,
                              const std::vector<LogLine>& lines) {
  return RequestTraceBuilder(request, lines).Build();
}

}  // namespace banyanknot::ctl
