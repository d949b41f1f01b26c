#include "platform_service.h"

#include <cstdlib>
#include <utility>

#include "banyanknot/protocol/platform_codec.h"

namespace banyanknot::standins {
namespace {

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
    : clock(clock), timers(timers), store(store) {}

void PlatformService::SetHosts(const std::string& text) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->hosts = text;
}

void PlatformService::Handle(
    std::shared_ptr<transport::HttpExchange> exchange) {
  const std::string& target = exchange->Request().target;
  if (StartsWith(target, protocol::kEntriesPath)) {
    this->HandleEntries(exchange);
  } else if (target == protocol::kHostsPath) {
    std::string text;
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      text = this->hosts;
    }
    exchange->Respond({200, text});
  } else if (StartsWith(target, "/admin/")) {
    this->HandleAdmin(exchange);
  } else {
    exchange->Respond({404, "{}"});
  }
}

void PlatformService::HandleEntries(
    const std::shared_ptr<transport::HttpExchange>& exchange) {
  const std::string& target = exchange->Request().target;
  const std::uint64_t since = QueryNumber(target, "since");
  const std::uint64_t wait_ms = QueryNumber(target, "wait_ms");
  const coordination::RawUpdate update = this->store.ChangesSince(since);
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

void PlatformService::EndWatch(
    const std::shared_ptr<transport::HttpExchange>& exchange) {
  std::uint64_t since = 0;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    for (auto watcher = this->watchers.begin(); watcher != this->watchers.end();
         ++watcher) {
      if (watcher->exchange != exchange) continue;
      since = watcher->since;
      this->watchers.erase(watcher);
      break;
    }
  }
  exchange->Respond(
      {200, protocol::EncodeUpdate(this->store.ChangesSince(since))});
}

void PlatformService::AnswerWatchers() {
  std::vector<Watcher> answered;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    answered.swap(this->watchers);
  }
  for (const Watcher& watcher : answered) {
    watcher.exchange->Respond(
        {200, protocol::EncodeUpdate(this->store.ChangesSince(watcher.since))});
  }
}

void PlatformService::HandleAdmin(
    const std::shared_ptr<transport::HttpExchange>& exchange) {
  const protocol::HttpRequest& request = exchange->Request();
  if (request.target == "/admin/hosts") {
    this->SetHosts(request.body);
    exchange->Respond({200, "{}"});
    return;
  }
  if (!StartsWith(request.target, kAdminEntries)) {
    exchange->Respond({404, "{}"});
    return;
  }
  const std::string key = request.target.substr(kAdminEntries.size());
  const std::uint64_t revision = request.method == "DELETE"
                                     ? this->store.Delete(key)
                                     : this->store.Put(key, request.body);
  this->AnswerWatchers();
  exchange->Respond({200, "{\"revision\":" + std::to_string(revision) + "}"});
}

}  // namespace banyanknot::standins
