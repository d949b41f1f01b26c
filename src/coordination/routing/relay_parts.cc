#include "banyanknot/coordination/routing/relay_parts.h"

#include <algorithm>
#include <utility>

namespace banyanknot::coordination {

RelayParts::RelayParts(std::vector<state::ServiceId> services) {
  this->parts.resize(services.size());
  for (std::size_t index = 0; index < services.size(); ++index) {
    this->parts[index].service = std::move(services[index]);
  }
}

RelayPart& RelayParts::PartOf(std::uint32_t attempt) {
  return this->parts[this->attempts[attempt].part];
}

const TrackedServerPtr& RelayParts::ServerOf(std::uint32_t attempt) const {
  return this->attempts[attempt].server;
}

std::uint32_t RelayParts::Open(RelayPart& part, const TrackedServerPtr& server,
                               state::TimePoint now) {
  const std::uint32_t number =
      static_cast<std::uint32_t>(this->attempts.size());
  Attempt attempt;
  attempt.part = static_cast<std::size_t>(&part - this->parts.data());
  attempt.server = server;
  attempt.sent_at = now;
  this->attempts.push_back(attempt);
  part.tried.push_back(server->Record().id);
  part.is_queued = false;
  ++part.counted_attempts;
  ++part.open;
  return number;
}

std::optional<state::TimePoint> RelayParts::Close(std::uint32_t attempt) {
  Attempt& closed = this->attempts[attempt];
  if (!closed.is_open) return std::nullopt;
  closed.is_open = false;
  --this->parts[closed.part].open;
  return closed.sent_at;
}

void RelayParts::CancelAll(AttemptOutcome outcome, state::TimePoint now,
                           RelayEffects& effects) {
  for (std::uint32_t number = 0; number < this->attempts.size(); ++number) {
    const std::optional<state::TimePoint> sent_at = this->Close(number);
    if (!sent_at) continue;
    const TrackedServerPtr& server = this->ServerOf(number);
    server->Release(outcome, *sent_at, now, std::nullopt);
    if (server->NeedsHealthCheck()) effects.suspects.push_back(server);
    effects.cancellations.push_back(number);
    effects.freed_services.push_back(this->PartOf(number).service);
  }
}

bool RelayParts::HasOpen() const {
  return std::any_of(this->attempts.begin(), this->attempts.end(),
                     [](const Attempt& attempt) { return attempt.is_open; });
}

bool RelayParts::MayHaveRun() const {
  return std::any_of(
      this->parts.begin(), this->parts.end(), [](const RelayPart& part) {
        return part.has_reply || part.may_have_run || part.open > 0;
      });
}

std::size_t RelayParts::CountPending() const {
  return static_cast<std::size_t>(
      std::count_if(this->parts.begin(), this->parts.end(),
                    [](const RelayPart& part) { return part.IsPending(); }));
}

bool RelayParts::WaitsOnUnreachableOnly(const RelayPart& part) const {
  if (part.is_queued || part.open == 0) return false;
  const std::size_t index =
      static_cast<std::size_t>(&part - this->parts.data());
  return std::all_of(this->attempts.begin(), this->attempts.end(),
                     [index](const Attempt& attempt) {
                       return attempt.part != index || !attempt.is_open ||
                              attempt.server->IsUnreachable();
                     });
}

std::string RelayParts::DescribeMissing() const {
  constexpr std::size_t kMaxListedParts = 4;
  std::string text;
  std::size_t listed = 0;
  for (const RelayPart& part : this->parts) {
    if (part.has_reply || listed == kMaxListedParts) continue;
    ++listed;
    if (!text.empty()) text += ",";
    text += part.service.Text();
    for (const state::InstanceId& server : part.tried) {
      text += "@" + server.Text();
    }
  }
  return text;
}

}  // namespace banyanknot::coordination
