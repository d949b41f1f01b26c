#include "platform/edge/server_stand_in.h"

#include <utility>

#include "banyanknot/protocol/hop_headers.h"
#include "platform/wire_names.h"

namespace banyanknot::platform::edge_testing {
namespace {

constexpr const char* kHealthPath = "/health";
constexpr unsigned kHttpOk = 200;
constexpr unsigned kHttpMisdirected = 421;
constexpr unsigned kHttpServerError = 500;
constexpr unsigned kHttpUnavailable = 503;

std::string HeaderOf(const transport::HttpExchange& exchange,
                     const char* name) {
  return std::string(protocol::HeaderValue(exchange.Request().headers, name));
}

}  // namespace

ServerStandIn::ServerStandIn(std::string id, std::string body)
    : id(std::move(id)),
      body(std::move(body)),
      timers(threads.Context()),
      server(threads.Context(), *this, {}) {
  this->port = state::ValueOf(this->server.Listen({"127.0.0.1", 0}));
}

ServerStandIn::~ServerStandIn() { this->threads.Stop(); }

void ServerStandIn::SetMode(ServerMode new_mode) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->mode = new_mode;
}

void ServerStandIn::SetServiceTime(state::Duration time) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->service_time = time;
}

std::size_t ServerStandIn::RunsOf(const std::string& request_id) const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto found = this->runs.find(request_id);
  return found == this->runs.end() ? 0 : found->second;
}

std::size_t ServerStandIn::Runs() const {
  std::size_t sum = 0;
  for (const auto& [request_id, count] : this->AllRuns()) sum += count;
  return sum;
}

std::map<std::string, std::size_t> ServerStandIn::AllRuns() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->runs;
}

std::size_t ServerStandIn::AbandonedRequests() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->abandoned_requests;
}

std::map<std::string, std::size_t> ServerStandIn::RunsByWorkspace() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->runs_by_workspace;
}

bool ServerStandIn::HasSeenKey() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->has_seen_key;
}

std::string ServerStandIn::LastBody() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->last_body;
}

protocol::HttpResponse ServerStandIn::Answer(
    unsigned status, const std::string& request_id) const {
  protocol::HttpResponse response;
  response.status = status;
  response.headers = {{wire::kServerId, this->id},
                      {wire::kRequestId, request_id},
                      {wire::kSignature, this->id + "/" + request_id}};
  response.body = status == kHttpOk ? request_id + this->body : "failed";
  return response;
}

void ServerStandIn::Handle(std::shared_ptr<transport::HttpExchange> exchange) {
  const std::string request_id = HeaderOf(*exchange, wire::kRequestId);
  if (exchange->Request().target == kHealthPath) {
    protocol::HttpResponse response;
    response.headers = {{wire::kServerId, this->id}, {wire::kColdFor, "0"}};
    exchange->Respond(std::move(response));
    return;
  }
  ServerMode now = ServerMode::kServing;
  state::Duration time{0};
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    now = this->mode;
    time = this->service_time;
    const bool is_mine = HeaderOf(*exchange, wire::kExpectedServer) == this->id;
    if (!is_mine || now == ServerMode::kShedding) {
      protocol::HttpResponse refusal;
      refusal.status = is_mine ? kHttpUnavailable : kHttpMisdirected;
      refusal.headers = {{wire::kServerId, this->id},
                         {wire::kNotRun, "1"},
                         {wire::kRequestId, request_id}};
      exchange->Respond(std::move(refusal));
      return;
    }
    ++this->runs[request_id];
    ++this->runs_by_workspace[HeaderOf(*exchange, wire::kWorkspace)];
    this->has_seen_key = this->has_seen_key ||
                         !HeaderOf(*exchange, wire::kAuthorization).empty();
    this->last_body = exchange->Request().body;
  }
  // The dropped exchange closes its connection.
  if (now == ServerMode::kLosingReply) return;
  exchange->OnClosed([this] {
    const std::lock_guard<std::mutex> lock(this->mutex);
    ++this->abandoned_requests;
  });
  const unsigned status =
      now == ServerMode::kFailing ? kHttpServerError : kHttpOk;
  protocol::HttpResponse response = this->Answer(status, request_id);
  this->timers.RunAt(
      this->clock.Now() + time,
      [exchange = std::move(exchange), response = std::move(response)] {
        exchange->Respond(response);
      });
}

}  // namespace banyanknot::platform::edge_testing
