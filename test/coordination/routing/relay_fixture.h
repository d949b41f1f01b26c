#ifndef BANYANKNOT_TEST_COORDINATION_ROUTING_RELAY_FIXTURE_H_
#define BANYANKNOT_TEST_COORDINATION_ROUTING_RELAY_FIXTURE_H_

#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "banyanknot/Coordination"
#include "banyanknot/State"
#include "coordination/fleet/support/virtual_time.h"

namespace banyanknot::coordination::routing_testing {

using state::Milliseconds;

/// \brief Records the codes of logged events.
class CodeLog : public EventLog {
 public:
  void Write(EventCode code, const std::vector<LogField>& /*fields*/) override {
    this->codes.push_back(code);
  }
  std::size_t Count(EventCode code) const {
    return static_cast<std::size_t>(
        std::count(this->codes.begin(), this->codes.end(), code));
  }

 private:
  std::vector<EventCode> codes;
};

/// \brief Deterministic random numbers, the same in every run.
class FixedRandomSource : public RandomSource {
 public:
  explicit FixedRandomSource(std::uint64_t seed) : engine(seed) {}
  std::uint64_t Below(std::uint64_t bound) override {
    return this->engine() % bound;
  }

 private:
  std::mt19937_64 engine;
};

/// \brief A scripted server's response to one request.
struct Reaction {
  state::Duration after = Milliseconds(10);
  RelayResult result = RelayReply();
};

/// \brief Returns a success whose signature names server and request.
inline RelayReply GoodReply(const RelaySend& send, std::string body) {
  RelayReply reply;
  reply.status = 200;
  reply.signature = send.server.Text() + "/" + send.request->id;
  reply.body = std::move(body);
  return reply;
}

inline RelayReply FailureReply(unsigned status, std::string signature) {
  RelayReply reply;
  reply.status = status;
  reply.signature = std::move(signature);
  reply.body = "failure";
  return reply;
}

inline RelayReply ShedReply() {
  RelayReply reply;
  reply.status = 503;
  reply.is_proven_not_run = true;
  return reply;
}

inline RelayReply OtherServerReply() {
  RelayReply reply = ShedReply();
  reply.status = 421;
  reply.is_other_server = true;
  return reply;
}

/// \brief Sends requests to scripted servers in virtual time.
class ScriptedRelayClient : public RelayClient {
 public:
  using Script = std::function<Reaction(const RelaySend&)>;

  explicit ScriptedRelayClient(fleet_testing::VirtualTime& time) : time(time) {}

  std::shared_ptr<RelayCall> Send(RelaySend send,
                                  RelayHandler handler) override {
    this->sent.push_back(send);
    ++this->received[send.server.Text()];
    const Reaction reaction = this->script(send);
    const std::shared_ptr<Call> call = std::make_shared<Call>(this->cancelled);
    this->time.RunAt(this->time.Now() + reaction.after,
                     [this, call, reaction, notices = send.notices,
                      handler = std::move(handler)] {
                       if (call->is_cancelled) return;
                       if (state::IsOk(reaction.result)) {
                         notices->OnNotice(
                             state::ValueOf(reaction.result).notice,
                             this->time.Now());
                       }
                       handler(reaction.result);
                     });
    return call;
  }
  void CheckHealth(HealthCheck check, ServerHealthHandler handler) override {
    ++this->health_checks[check.server.Text()];
    const std::optional<ServerHealth> health = this->health(check.server);
    this->time.RunAt(
        this->time.Now() + Milliseconds(1),
        [this, health, notices = check.notices, handler = std::move(handler)] {
          if (health) {
            notices->OnNotice(health->notice, this->time.Now());
          }
          handler(health);
        });
  }
  void CloseConnections(const state::InstanceId& server,
                        const state::Endpoint& /*endpoint*/) override {
    this->closed_servers.push_back(server);
  }

  Script script = [](const RelaySend& send) {
    return Reaction{Milliseconds(10), GoodReply(send, "")};
  };
  std::function<std::optional<ServerHealth>(const state::InstanceId&)> health =
      [](const state::InstanceId& server) {
        return ServerHealth{server, true, state::Duration(0)};
      };
  std::vector<RelaySend> sent;
  std::map<std::string, int> received;
  std::map<std::string, int> health_checks;
  std::vector<state::InstanceId> closed_servers;
  int cancelled = 0;

 private:
  struct Call : RelayCall {
    explicit Call(int& cancelled) : cancelled(cancelled) {}
    void Cancel() override {
      if (!this->is_cancelled) ++this->cancelled;
      this->is_cancelled = true;
    }
    int& cancelled;
    bool is_cancelled = false;
  };

  fleet_testing::VirtualTime& time;
};

/// \brief Result of one request.
struct RequestResult {
  bool is_answered = false;
  RelayAnswer answer;
  state::Duration after{0};
  std::uint64_t number = 0;
};

/// \brief Routing of one host to scripted servers, in virtual time.
class RelayFixture {
 public:
  /// \brief Policies that replace the default ones.
  struct PolicyOverrides {
    HedgeDelayPolicy* hedges = nullptr;
    QueueingDelayEstimator* delay_estimator = nullptr;
    RetryAfterPolicy* retry_after = nullptr;
  };

  RelayFixture() : RelayFixture(PolicyOverrides()) {}
  explicit RelayFixture(HedgeDelayPolicy* hedges)
      : RelayFixture(PolicyOverrides{hedges, nullptr, nullptr}) {}
  explicit RelayFixture(const PolicyOverrides& overrides)
      : executor(
            this->time, this->time, this->client, this->routes,
            {this->servers, this->budget,
             overrides.hedges == nullptr ? this->quantile_hedges
                                         : *overrides.hedges,
             overrides.delay_estimator == nullptr ? this->queue
                                                  : *overrides.delay_estimator,
             overrides.retry_after == nullptr ? this->paced_retry_after
                                              : *overrides.retry_after,
             this->answer_delay},
            this->queue, this->checker, this->journal) {}

  static state::Route RelayRoute(bool is_idempotent,
                                 std::size_t max_attempts = 2) {
    state::Route route;
    route.name = "relay";
    route.host = "h.example";
    route.prefix = "/relay/";
    route.split = {{state::ServiceId("desk"), 1}};
    route.is_idempotent = is_idempotent;
    route.max_attempts = max_attempts;
    route.timeout = Milliseconds(1'000);
    route.objective = Milliseconds(400);
    return route;
  }
  static state::Route GatherRoute(std::size_t shards, double min_coverage) {
    state::Route route;
    route.name = "gather";
    route.host = "h.example";
    route.prefix = "/gather/";
    for (std::size_t index = 0; index < shards; ++index) {
      route.shards.emplace_back(ShardName(index));
    }
    route.top_k = 4;
    route.min_coverage = min_coverage;
    route.is_idempotent = true;
    route.max_attempts = 2;
    route.timeout = Milliseconds(800);
    route.objective = Milliseconds(150);
    return route;
  }
  static std::string ShardName(std::size_t index) {
    return "shard" + std::to_string(index);
  }

  void PutRoutes(std::vector<state::Route> list, std::uint64_t version = 1) {
    std::vector<state::ServiceSpec> specs;
    for (const state::Route& route : list) {
      std::vector<state::ServiceId> services = route.shards;
      for (const state::WeightedService& part : route.split) {
        services.push_back(part.service);
      }
      for (const state::ServiceId& service : services) {
        state::ServiceSpec spec;
        spec.id = service;
        spec.health_path = "/health";
        spec.max_connections = this->max_connections;
        specs.push_back(spec);
      }
    }
    const state::RouteTablePtr table =
        std::make_shared<const state::RouteTable>(
            version, std::move(list), std::move(specs), state::CallerLimits());
    this->intake.Apply({{table}, version}, RemovalMode::kImmediate);
  }
  state::RegisteredServer Server(const std::string& id,
                                 const std::string& service,
                                 const std::string& domain = "a") {
    state::RegisteredServer server;
    server.id = state::InstanceId(id);
    server.service = state::ServiceId(service);
    server.endpoint = {"10.0.0.1", 80};
    server.domain = state::FailureDomainId(domain);
    server.slots = 2;
    return server;
  }
  void Publish(RoutingChange change,
               RemovalMode mode = RemovalMode::kImmediate) {
    this->intake.Apply({{std::move(change)}, 1}, mode);
  }
  void PutShardServers(std::size_t shards, std::size_t replicas) {
    for (std::size_t shard = 0; shard < shards; ++shard) {
      for (std::size_t replica = 0; replica < replicas; ++replica) {
        this->Publish(
            this->Server(ShardName(shard) + "-" + std::to_string(replica),
                         ShardName(shard), replica == 0 ? "a" : "b"));
      }
    }
  }

  std::shared_ptr<RequestResult> Start(
      const std::string& path, state::Duration deadline = Milliseconds(2'000)) {
    state::RelayRequest request;
    request.id = "r" + std::to_string(++this->requests);
    request.method = "GET";
    request.host = "h.example";
    request.target = path;
    request.deadline = deadline;
    request.received_at = this->time.Now();
    const state::TimePoint started_at = this->time.Now();
    const std::shared_ptr<RequestResult> ended =
        std::make_shared<RequestResult>();
    ended->number = this->executor.Run(
        std::move(request),
        [this, ended, started_at](const RelayAnswer& answer) {
          REQUIRE_FALSE(ended->is_answered);
          ended->is_answered = true;
          ended->answer = answer;
          ended->after = this->time.Now() - started_at;
        });
    return ended;
  }
  RequestResult Run(const std::string& path,
                    state::Duration deadline = Milliseconds(2'000)) {
    const std::shared_ptr<RequestResult> ended = this->Start(path, deadline);
    this->time.Advance(Milliseconds(3'000));
    REQUIRE(ended->is_answered);
    return *ended;
  }

  std::size_t max_connections = 96;
  fleet_testing::VirtualTime time;
  CodeLog log;
  FixedRandomSource random{7};
  RouteDirectory routes;
  ServerDirectory servers{this->time, state::FailureDomainId("a")};
  ScriptedRelayClient client{this->time};
  ServerHealthChecker checker{this->time, this->time, this->client,
                              this->routes, this->log};
  ExtraRequestBudget budget{ExtraRequestLimits()};
  QuantileHedgeDelay quantile_hedges{0.92};
  CapacityQueue queue;
  PacedRetryAfter paced_retry_after{this->random};
  FixedAnswerDelay answer_delay{Milliseconds(6)};
  RelayJournal journal{this->log};
  RoutingIntake intake{this->time,    this->time,    this->client, this->routes,
                       this->servers, this->checker, this->log};
  RelayExecutor executor;

 private:
  int requests = 0;
};

}  // namespace banyanknot::coordination::routing_testing

#endif  // BANYANKNOT_TEST_COORDINATION_ROUTING_RELAY_FIXTURE_H_
