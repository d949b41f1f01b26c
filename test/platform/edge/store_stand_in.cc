#include "platform/edge/store_stand_in.h"

#include <algorithm>
#include <boost/beast/core/detail/base64.hpp>
#include <utility>

#include "platform/wire_names.h"

namespace banyanknot::platform::edge_testing {
namespace {

using nlohmann::json;

constexpr unsigned kHttpOk = 200;
constexpr unsigned kHttpUnavailable = 503;
constexpr unsigned kHttpGone = 410;

std::string EncodeBase64(const std::string& bytes) {
  namespace base64 = boost::beast::detail::base64;
  std::string text(base64::encoded_size(bytes.size()), '\0');
  text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
  return text;
}

std::uint64_t ParseNumberAfter(const std::string& target,
                               const std::string& name) {
  const std::size_t found = target.find(name);
  if (found == std::string::npos) return 0;
  return std::strtoull(target.c_str() + found + name.size(), nullptr, 10);
}

}  // namespace

StoreStandIn::StoreStandIn()
    : timers(threads.Context()), server(threads.Context(), *this, {}) {
  this->contents.revision = 1;
  this->port = state::ValueOf(this->server.Listen({"127.0.0.1", 0}));
}

StoreStandIn::~StoreStandIn() {
  this->threads.Stop();
  // Exchanges must not outlive the context that their connections use.
  this->watches.clear();
  this->unanswered.clear();
}

void StoreStandIn::SetMode(StoreMode new_mode) {
  std::vector<std::shared_ptr<transport::HttpExchange>> released;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->mode = new_mode;
    released.swap(this->unanswered);
    if (new_mode != StoreMode::kUp) {
      for (Watch& watch : this->watches) {
        released.push_back(std::move(watch.exchange));
      }
      this->watches.clear();
    }
  }
  // Dropped exchanges close their connections.
}

void StoreStandIn::Put(const std::string& key, const json& value) {
  this->PutRaw(key, EncodeBase64(value.dump()));
}

void StoreStandIn::PutRaw(const std::string& key, const std::string& encoded) {
  this->Write(key, {{"Key", key}, {"Value", encoded}});
}

void StoreStandIn::Delete(const std::string& key) {
  this->Write(key, {{"Key", key}, {"Deleted", true}});
}

void StoreStandIn::Write(const std::string& key, json item) {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    item["Revision"] = ++this->contents.revision;
    if (item.contains("Deleted")) {
      this->contents.items.erase(key);
    } else {
      this->contents.items[key] = item;
    }
    this->contents.events.push_back(std::move(item));
  }
  this->AnswerWatches();
}

StoreCopy StoreStandIn::TakeCopy() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->contents;
}

void StoreStandIn::ReturnFromCopy(const StoreCopy& copy) {
  std::vector<Watch> cut;  // dropped exchanges close their connections
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->contents = copy;
  ++this->era;
  cut.swap(this->watches);
}

void StoreStandIn::HideEra() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->is_era_hidden = true;
}

std::uint64_t StoreStandIn::Revision() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->contents.revision;
}

protocol::HttpResponse StoreStandIn::Answer(unsigned status,
                                            const json& document) const {
  protocol::HttpResponse response;
  response.status = status;
  if (!this->is_era_hidden) {
    response.headers = {{wire::kStoreEra, std::to_string(this->era)}};
  }
  response.body = document.dump();
  return response;
}

protocol::HttpResponse StoreStandIn::Range() const {
  json present = json::array();
  for (const auto& [key, item] : this->contents.items) present.push_back(item);
  return this->Answer(kHttpOk, {{"items", std::move(present)},
                                {"HasMore", false},
                                {"AsOf", this->contents.revision}});
}

protocol::HttpResponse StoreStandIn::ChangesAfter(std::uint64_t after) const {
  json events = json::array();
  for (const json& event : this->contents.events) {
    if (event["Revision"].get<std::uint64_t>() > after) events.push_back(event);
  }
  return this->Answer(kHttpOk, {{"events", std::move(events)},
                                {"AsOf", this->contents.revision}});
}

void StoreStandIn::AnswerWatches() {
  std::vector<std::pair<std::shared_ptr<transport::HttpExchange>,
                        protocol::HttpResponse>>
      answers;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    for (Watch& watch : this->watches) {
      answers.emplace_back(std::move(watch.exchange),
                           this->ChangesAfter(watch.after));
    }
    this->watches.clear();
  }
  for (auto& [exchange, response] : answers) {
    exchange->Respond(std::move(response));
  }
}

void StoreStandIn::EndWatch(std::uint64_t number) {
  Watch ended;
  protocol::HttpResponse response;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    const auto found = std::find_if(
        this->watches.begin(), this->watches.end(),
        [number](const Watch& watch) { return watch.number == number; });
    if (found == this->watches.end()) return;
    ended = std::move(*found);
    this->watches.erase(found);
    response = this->ChangesAfter(ended.after);
  }
  ended.exchange->Respond(std::move(response));
}

void StoreStandIn::Handle(std::shared_ptr<transport::HttpExchange> exchange) {
  ++this->calls;
  const std::string target = exchange->Request().target;
  const bool is_watch = target.find(wire::kWatchPath) == 0;
  std::unique_lock<std::mutex> lock(this->mutex);
  if (this->mode == StoreMode::kSilent) {
    this->unanswered.push_back(std::move(exchange));
    return;
  }
  if (this->mode == StoreMode::kLosingReply) {
    lock.unlock();
    exchange.reset();
    return;
  }
  protocol::HttpResponse response;
  const std::uint64_t after = ParseNumberAfter(target, "after=");
  if (this->mode == StoreMode::kRefusing) {
    response = this->Answer(kHttpUnavailable, json::object());
  } else if (!is_watch) {
    response = this->Range();
  } else if (this->mode == StoreMode::kHistoryLost ||
             after > this->contents.revision) {
    response = this->Answer(kHttpGone, json::object());
  } else if (after == this->contents.revision) {
    const std::uint64_t number = ++this->watch_count;
    this->watches.push_back({number, after, std::move(exchange)});
    const state::Duration wait = state::Milliseconds(
        static_cast<std::int64_t>(ParseNumberAfter(target, "WaitMs=")));
    this->timers.RunAt(this->clock.Now() + wait,
                       [this, number] { this->EndWatch(number); });
    return;
  } else {
    response = this->ChangesAfter(after);
  }
  lock.unlock();
  exchange->Respond(std::move(response));
}

}  // namespace banyanknot::platform::edge_testing
