#include "platform_service.h"

#include <cstdlib>
#include <limits>
#include <utility>

#include "banyanknot/protocol/json_reader.h"
#include "banyanknot/protocol/platform_codec.h"

namespace banyanknot::standins {
namespace {

constexpr std::uint64_t kReadsPerSecond = 2'000;
constexpr std::uint64_t kNewestRevision =
    std::numeric_limits<std::uint64_t>::max();
constexpr std::size_t kMaxAdminBytes = 1u << 20;
const std::string kAdminEntries = "/admin/entries/";

/// Reads a number of the query part of a target; 0 if it is not there.
std::uint64_t QueryNumber(const std::string& target, const std::string& name) {
  const std::size_t found = target.find(name + "=");
  if (found == std::string::npos) return 0;
  return std::strtoull(target.c_str() + found + name.size() + 1, nullptr, 10);
}

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

}  // namespace

PlatformService::PlatformService(const coordination::Clock& clock,
                                 coordination::TimerService& timers,
                                 CatalogueStore& store)
    : clock(clock), timers(timers), store(store), meter(kReadsPerSecond) {}

void PlatformService::SetHosts(const std::string& text) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->hosts.Set(text, this->clock.Now());
}

void PlatformService::Handle(
    std::shared_ptr<transport::HttpExchange> exchange) {
  if (StartsWith(exchange->Request().target, "/admin/")) {
    this->HandleAdmin(exchange);
  } else {
    this->HandleRead(exchange);
  }
}

void PlatformService::HandleRead(const Exchange& exchange) {
  const std::string& target = exchange->Request().target;
  bool is_within_cap = false;
  std::string hosts_text;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    is_within_cap = this->meter.Count(this->clock.Now());
    if (this->mode == PlatformMode::kRefusing) return;
    if (this->mode == PlatformMode::kHanging) {
      this->hanging.push_back(exchange);
      return;
    }
    hosts_text = this->hosts.Shown(this->clock.Now());
  }
  if (!is_within_cap) {
    exchange->Respond({429, R"({"error":"too many reads"})"});
  } else if (StartsWith(target, protocol::kEntriesPath)) {
    this->HandleEntries(exchange);
  } else if (target == protocol::kHostsPath) {
    exchange->Respond({200, hosts_text});
  } else {
    exchange->Respond({404, "{}"});
  }
}

coordination::RawUpdate PlatformService::UpdateSince(std::uint64_t since) {
  PlatformMode current = PlatformMode::kUp;
  std::uint64_t as_of = kNewestRevision;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    current = this->mode;
    if (current == PlatformMode::kStale) as_of = this->stale_revision;
  }
  if (current == PlatformMode::kConflicting) since = 0;
  coordination::RawUpdate update = this->store.ChangesSince(since, as_of);
  if (current == PlatformMode::kConflicting) {
    for (coordination::RawEntry& entry : update.entries) entry.text += " ";
  }
  return update;
}

void PlatformService::HandleEntries(const Exchange& exchange) {
  const std::string& target = exchange->Request().target;
  const std::uint64_t since = QueryNumber(target, "since");
  const std::uint64_t wait_ms = QueryNumber(target, "wait_ms");
  const coordination::RawUpdate update = this->UpdateSince(since);
  if (!update.entries.empty() || wait_ms == 0) {
    exchange->Respond({200, protocol::EncodeUpdate(update)});
    return;
  }
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->watchers.push_back({exchange, since});
  }
  this->timers.RunAt(
      this->clock.Now() + state::Milliseconds(static_cast<int>(wait_ms)),
      [this, exchange] { this->EndWatch(exchange); });
}

void PlatformService::Answer(const Watcher& watcher) {
  watcher.exchange->Respond(
      {200, protocol::EncodeUpdate(this->UpdateSince(watcher.since))});
}

void PlatformService::EndWatch(const Exchange& exchange) {
  std::vector<Watcher> ended;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    for (auto watcher = this->watchers.begin(); watcher != this->watchers.end();
         ++watcher) {
      if (watcher->exchange != exchange) continue;
      ended.push_back(*watcher);
      this->watchers.erase(watcher);
      break;
    }
  }
  for (const Watcher& watcher : ended) this->Answer(watcher);
}

void PlatformService::AnswerWatchers() {
  std::vector<Watcher> answered;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->mode == PlatformMode::kHanging ||
        this->mode == PlatformMode::kStale) {
      return;
    }
    answered.swap(this->watchers);
    if (this->mode == PlatformMode::kRefusing) return;
  }
  for (const Watcher& watcher : answered) this->Answer(watcher);
}

bool PlatformService::ChangeMode(const std::string& body) {
  const state::Result<nlohmann::json, protocol::ProtocolError> parsed =
      protocol::ParseJson(body, kMaxAdminBytes);
  if (!state::IsOk(parsed)) return false;
  protocol::JsonReader reader(state::ValueOf(parsed), "");
  const std::optional<PlatformMode> named =
      state::FindValue(kPlatformModeNames, reader.StringOr("mode", "up"));
  const state::Duration host_lag =
      reader.MillisecondsOr("host_lag_ms", state::Duration(0));
  const std::uint64_t revision =
      reader.UnsignedOr("stale_revision", 0, kNewestRevision);
  if (reader.Error() || !named) return false;
  std::vector<Exchange> dropped;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->mode = *named;
    this->stale_revision = revision;
    this->hosts.SetLag(host_lag);
    dropped.swap(this->hanging);
  }
  this->AnswerWatchers();
  return true;
}

std::string PlatformService::CountersText() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const nlohmann::json counters = {{"reads", this->meter.Reads()},
                                   {"refused", this->meter.Refused()},
                                   {"by_second", this->meter.BySecond()},
                                   {"watching", this->watchers.size()}};
  return counters.dump();
}

void PlatformService::HandleAdmin(const Exchange& exchange) {
  const protocol::HttpRequest& request = exchange->Request();
  if (request.target == "/admin/counters") {
    exchange->Respond({200, this->CountersText()});
  } else if (request.target == "/admin/hosts") {
    this->SetHosts(request.body);
    exchange->Respond({200, "{}"});
  } else if (request.target == "/admin/mode") {
    const bool is_changed = this->ChangeMode(request.body);
    exchange->Respond({is_changed ? 200u : 400u, "{}"});
  } else if (StartsWith(request.target, kAdminEntries)) {
    this->HandleAdminEntry(exchange);
  } else {
    exchange->Respond({404, "{}"});
  }
}

void PlatformService::HandleAdminEntry(const Exchange& exchange) {
  const protocol::HttpRequest& request = exchange->Request();
  const std::string key = request.target.substr(kAdminEntries.size());
  const std::uint64_t revision = request.method == "DELETE"
                                     ? this->store.Delete(key)
                                     : this->store.Put(key, request.body);
  this->AnswerWatchers();
  exchange->Respond({200, "{\"revision\":" + std::to_string(revision) + "}"});
}

}  // namespace banyanknot::standins
