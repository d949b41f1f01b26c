#include "request_story.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <sstream>

#include "banyanknot/state/routing/relay_outcome.h"
#include "banyanknot/state/routing/relay_reason.h"

namespace banyanknot::ctl {
namespace {

/// How far around a request what befell its servers may explain it: a doubt is
/// cleared, or an entry lapses, within this.
constexpr std::int64_t kBeforeMs = 10'000;
constexpr std::int64_t kAfterMs = 2'000;

using coordination::EventCode;
using state::RelayOutcome;
using state::RelayReason;

/// What a reason, or an outcome without one, means.
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

std::string ReadingOf(const LogLine& line) {
  const std::string reading = MeaningOf(kReasonMeanings, line.Field("reason"));
  return reading.empty() ? MeaningOf(kOutcomeMeanings, line.Field("outcome"))
                         : reading;
}

/// The services and servers that a request lists as missing.
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

/// What a host believes of itself until it says something else.
bool IsStanding(const LogLine& line) {
  constexpr std::array<EventCode, 8> kEvents = {
      EventCode::kRoutesInForce,  EventCode::kSourceLost,
      EventCode::kSourceRegained, EventCode::kReachLost,
      EventCode::kReachRegained,  EventCode::kHostStarting,
      EventCode::kHostReady,      EventCode::kHostStopping};
  return std::any_of(kEvents.begin(), kEvents.end(),
                     [&line](EventCode event) { return line.Is(event); });
}

/// The first word of an event's name: what lost and regained share.
std::string MatterOf(const LogLine& line) {
  return line.name.substr(0, line.name.find('_'));
}

class StoryFinder {
 public:
  StoryFinder(std::string_view request, const std::vector<LogLine>& lines)
      : request(request), lines(lines) {}

  RequestStory Find() {
    for (std::size_t index = 0; index < this->lines.size(); ++index) {
      if (this->lines[index].Field("request") == this->request) {
        this->AddOwn(index);
      }
    }
    RequestStory story;
    for (const std::size_t index : this->taken) {
      story.lines.push_back(this->lines[index]);
    }
    story.readings = std::move(this->readings);
    return story;
  }

 private:
  void AddOwn(std::size_t own) {
    const LogLine& line = this->lines[own];
    this->taken.insert(own);
    const std::string reading = ReadingOf(line);
    if (!reading.empty()) this->readings.push_back(reading);
    this->AddStanding(own);
    const std::set<std::string> missing = MissingNames(line);
    for (std::size_t index = 0; index < this->lines.size(); ++index) {
      if (this->Explains(this->lines[index], line, missing)) {
        this->taken.insert(index);
      }
    }
  }

  /// Takes the last line before it of each matter on its host.
  void AddStanding(std::size_t own) {
    std::map<std::string, std::size_t> last;
    for (std::size_t index = 0; index < own; ++index) {
      const LogLine& line = this->lines[index];
      if (line.host != this->lines[own].host) continue;
      if (line.Is(EventCode::kDomainState)) {
        last["domain " + line.Field("subject") + line.Field("domain")] = index;
      } else if (IsStanding(line)) {
        last[MatterOf(line)] = index;
      }
    }
    for (const auto& [matter, index] : last) this->taken.insert(index);
  }

  bool Explains(const LogLine& line, const LogLine& own,
                const std::set<std::string>& missing) const {
    if (line.host != own.host || line.unix_ms < own.unix_ms - kBeforeMs ||
        line.unix_ms > own.unix_ms + kAfterMs) {
      return false;
    }
    return missing.count(line.Field("server")) > 0 ||
           missing.count(line.Field("service")) > 0;
  }

  const std::string_view request;
  const std::vector<LogLine>& lines;
  std::set<std::size_t> taken;
  std::vector<std::string> readings;
};

}  // namespace

RequestStory FindStory(std::string_view request,
                       const std::vector<LogLine>& lines) {
  return StoryFinder(request, lines).Find();
}

}  // namespace banyanknot::ctl
