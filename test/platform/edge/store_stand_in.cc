#include "platform/edge/store_stand_in.h"

#include <boost/beast/core/detail/base64.hpp>
#include <utility>

#include "platform/wire_names.h"

namespace banyanknot::platform::edge_testing {
namespace {

using nlohmann::json;

constexpr unsigned kHttpUnavailable = 503;
constexpr unsigned kHttpGone = 410;

std::string EncodeBase64(const std::string& bytes) {
  namespace base64 = boost::beast::detail::base64;
  std::string text(base64::encoded_size(bytes.size()), '\0');
  text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
  return text;
}

protocol::HttpResponse Respond(unsigned status, const json& body) {
  protocol::HttpResponse response;
  response.status = status;
  response.body = body.dump();
  return response;
}

std::uint64_t ParseNumberAfter(const std::string& target,
                               const std::string& name) {
  const std::size_t found = target.find(name);
  if (found == std::string::npos) return 0;
  return std::strtoull(target.c_str() + found + name.size(), nullptr, 10);
}

}  // namespace

StoreStandIn::StoreStandIn() : server(threads.Context(), *this, {}) {
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
    item["Revision"] = ++this->revision;
    this->items[key] = std::move(item);
  }
  this->AnswerWatches();
}

json StoreStandIn::EventsAfter(std::uint64_t after) const {
  json events = json::array();
  for (const auto& [key, item] : this->items) {
    if (item["Revision"].get<std::uint64_t>() > after) events.push_back(item);
  }
  return events;
}

protocol::HttpResponse StoreStandIn::Range() const {
  json present = json::array();
  for (const auto& [key, item] : this->items) {
    if (!item.contains("Deleted")) present.push_back(item);
  }
  return Respond(200, {{"items", std::move(present)},
                       {"HasMore", false},
                       {"AsOf", this->revision}});
}

void StoreStandIn::AnswerWatches() {
  std::vector<std::pair<std::shared_ptr<transport::HttpExchange>,
                        protocol::HttpResponse>>
      answers;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    for (Watch& watch : this->watches) {
      answers.emplace_back(
          std::move(watch.exchange),
          Respond(200, {{"events", this->EventsAfter(watch.after)},
                        {"AsOf", this->revision}}));
    }
    this->watches.clear();
  }
  for (auto& [exchange, response] : answers) {
    exchange->Respond(std::move(response));
  }
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
  if (this->mode == StoreMode::kRefusing) {
    response = Respond(kHttpUnavailable, json::object());
  } else if (!is_watch) {
    response = this->Range();
  } else if (this->mode == StoreMode::kHistoryLost) {
    response = Respond(kHttpGone, json::object());
  } else {
    const std::uint64_t after = ParseNumberAfter(target, "after=");
    if (after >= this->revision) {
      this->watches.push_back({after, std::move(exchange)});
      return;
    }
    response = Respond(
        200, {{"events", this->EventsAfter(after)}, {"AsOf", this->revision}});
  }
  lock.unlock();
  exchange->Respond(std::move(response));
}

}  // namespace banyanknot::platform::edge_testing
