#ifndef BANYANKNOT_TEST_COORDINATION_ACTIONS_ACTION_WORLD_H_
#define BANYANKNOT_TEST_COORDINATION_ACTIONS_ACTION_WORLD_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "banyanknot/Coordination"
#include "banyanknot/State"

namespace banyanknot::coordination::action_test {

/// \brief Simulated clock that advances to the next scheduled function.
class SimulatedTime : public Clock, public TimerService {
 public:
  state::TimePoint Now() const override { return this->now; }

  void RunAt(state::TimePoint when, std::function<void()> function) override {
    this->functions.emplace(std::max(when, this->now), std::move(function));
  }

  void RunUntil(state::TimePoint end) {
    while (!this->functions.empty() && this->functions.begin()->first <= end) {
      const auto first = this->functions.begin();
      this->now = first->first;
      const std::function<void()> function = std::move(first->second);
      this->functions.erase(first);
      function();
    }
    this->now = std::max(this->now, end);
  }

  void RunFor(state::Duration duration) {
    this->RunUntil(this->now + duration);
  }

 private:
  state::TimePoint now{state::Milliseconds(1'000'000)};
  std::multimap<state::TimePoint, std::function<void()>> functions;
};

/// \brief Timers of one process; cancelled when it ends.
class ProcessTimers : public TimerService {
 public:
  explicit ProcessTimers(SimulatedTime& time) : time(time) {}
  void RunAt(state::TimePoint when, std::function<void()> function) override {
    this->time.RunAt(when, [alive = std::weak_ptr<int>(this->alive),
                            function = std::move(function)] {
      if (!alive.expired()) function();
    });
  }

 private:
  SimulatedTime& time;
  const std::shared_ptr<int> alive = std::make_shared<int>(0);
};

/// \brief Scripted outcome of one attempt.
struct AttemptOutcome {
  bool runs = true;  ///< whether the server runs it
  std::optional<BackendFailure> failure;
  state::ReplyStatus status = state::ReplyStatus::kOk;
  bool is_mismatched = false;  ///< the reply echoes another attempt
  state::Duration delay = state::Milliseconds(2);
};

/// \brief The backend servers; they count the runs of each request.
class SimulatedServers {
 public:
  using OutcomeSource = std::function<AttemptOutcome(const state::SubRequest&)>;

  OutcomeSource outcome_source = [](const state::SubRequest&) {
    return AttemptOutcome{};
  };
  std::vector<state::SubRequest> sent;
  std::map<std::uint64_t, int> runs_by_sequence;
  std::map<std::string, int> runs_by_ask;

  BackendResult Execute(const state::SubRequest& request,
                        const AttemptOutcome& attempt_outcome) {
    this->sent.push_back(request);
    if (attempt_outcome.runs) {
      ++this->runs_by_sequence[request.request.sequence];
      ++this->runs_by_ask[request.ask];
    }
    if (attempt_outcome.failure) return *attempt_outcome.failure;
    state::SubReply reply;
    reply.request = request.request;
    reply.attempt = request.attempt + (attempt_outcome.is_mismatched ? 1 : 0);
    reply.shard = request.shard;
    reply.covered = request.range;
    reply.status = attempt_outcome.status;
    reply.records = {{request.range.begin, request.ask}};
    return reply;
  }
};

/// \brief One process's connections to the servers.
class ProcessBackend : public BackendClient {
 public:
  ProcessBackend(SimulatedTime& time, TimerService& timers,
                 SimulatedServers& servers)
      : time(time), timers(timers), servers(servers) {}

  void Send(const state::SubRequest& request, BackendHandler handler) override {
    const AttemptOutcome attempt_outcome =
        this->servers.outcome_source(request);
    const BackendResult result =
        this->servers.Execute(request, attempt_outcome);
    const state::TimePoint when =
        attempt_outcome.failure == BackendFailure::kTimeout
            ? request.deadline
            : std::min(request.deadline,
                       this->time.Now() + attempt_outcome.delay);
    this->timers.RunAt(
        when, [handler = std::move(handler), result] { handler(result); });
  }
  void Cancel(const state::SubRequest& /*request*/) override {}

 private:
  SimulatedTime& time;
  TimerService& timers;
  SimulatedServers& servers;
};

/// \brief Admits all servers but those that the test closed.
class ClosableGate : public ServerGate {
 public:
  explicit ClosableGate(const Clock& clock) : clock(clock) {}
  PermitResult Acquire(const state::ServerEntry& server,
                       WorkKind kind) override {
    this->kinds.push_back(kind);
    if (this->closed.count(server.id.Text()) > 0) return GateRefusal::kBusy;
    ++this->open_permits;
    return ServerPermit{server.id, this->clock.Now(),
                        this->clock.Now() + state::Milliseconds(100), false};
  }
  void Release(const ServerPermit& /*permit*/,
               const BackendResult& /*result*/) override {
    --this->open_permits;
  }

  std::set<std::string> closed;
  std::vector<WorkKind> kinds;
  int open_permits = 0;

 private:
  const Clock& clock;
};

/// \brief Keeps replicas in catalogue order.
class ListedOrderSelector : public ReplicaSelector {
 public:
  void Rank(std::vector<const state::ServerEntry*>& /*candidates*/) override {}
};

/// \brief Network with scripted delay, loss and duplication.
class SimulatedNetwork {
 public:
  explicit SimulatedNetwork(SimulatedTime& time) : time(time) {}

  /// Delivery delay of each copy of a message; empty if it is lost.
  std::function<std::vector<state::Duration>()> delays = [] {
    return std::vector<state::Duration>{state::Milliseconds(1)};
  };
  std::map<std::uint16_t, PeerHandler*> handlers;
  std::vector<std::pair<std::uint16_t, PeerEnvelope>> carried;

  void Send(const state::Endpoint& peer, const PeerEnvelope& envelope) {
    this->carried.emplace_back(peer.port, envelope);
    for (const state::Duration& delay : this->delays()) {
      this->time.RunAt(this->time.Now() + delay, [this, peer, envelope] {
        this->Deliver(peer.port, envelope);
      });
    }
  }
  void Deliver(std::uint16_t port, const PeerEnvelope& envelope) {
    const auto found = this->handlers.find(port);
    if (found != this->handlers.end()) found->second->OnPeerMessage(envelope);
  }

 private:
  SimulatedTime& time;
};

class ProcessLink : public PeerLink {
 public:
  ProcessLink(const state::HostIdentity& identity, SimulatedNetwork& network)
      : identity(identity), network(network) {}
  void Send(const state::Endpoint& peer, const PeerMessage& message) override {
    this->network.Send(
        peer, {this->identity.self.id, this->identity.incarnation, message});
  }

 private:
  const state::HostIdentity identity;
  SimulatedNetwork& network;
};

inline constexpr std::uint64_t kKey = 150;

/// \brief A service with two shards of two replicas each.
inline state::ServiceEntry SwipesService() {
  state::ServiceEntry service;
  service.id = state::ServiceId("swipes");
  service.key_space = {0, 200};
  service.shards = {
      {1, {0, 100}, {state::ServerId("a1"), state::ServerId("a2")}},
      {2, {100, 200}, {state::ServerId("b1"), state::ServerId("b2")}}};
  for (const char* id : {"a1", "a2", "b1", "b2"}) {
    state::ServerEntry server;
    server.id = state::ServerId(id);
    service.servers.push_back(server);
  }
  service.limits.default_deadline = state::Milliseconds(1'000);
  return service;
}

inline void PutService(state::CatalogueTable& catalogue,
                       const state::ServiceEntry& service,
                       std::uint64_t revision) {
  state::CatalogueRecord record;
  record.key = "service/" + service.id.Text();
  record.revision = revision;
  record.content = std::make_shared<const state::CatalogueContent>(service);
  catalogue.Put(record);
}

/// \brief Everything that the hosts of a test share.
struct SimulatedFleet {
  SimulatedTime time;
  SimulatedServers servers;
  SimulatedNetwork network{time};
};

/// \brief One incarnation of one host.
struct ActionHost {
  ActionHost(SimulatedFleet& fleet, const std::string& id, std::uint16_t port,
             std::uint64_t origin, const ActionPolicy& policy,
             TicketLimits limits = {})
      : fleet(fleet),
        identity(IdentityOf(id, port, origin)),
        timers(fleet.time),
        backend(fleet.time, timers, fleet.servers),
        random(origin),
        gate(fleet.time),
        tickets(identity.self.id, origin, fleet.time, random, limits),
        executor(fleet.time, timers, backend, catalogue, selector, gate, policy,
                 tickets),
        link(identity, fleet.network),
        forwarder(identity, fleet.time, timers, link, hosts, catalogue,
                  executor) {
    PutService(this->catalogue, SwipesService(), 1);
    this->fleet.network.handlers[port] = &this->forwarder;
    this->executor.Start();
  }
  ~ActionHost() {
    this->fleet.network.handlers.erase(this->identity.self.peer.port);
  }

  static state::HostIdentity IdentityOf(const std::string& id,
                                        std::uint16_t port,
                                        std::uint64_t origin) {
    state::HostIdentity identity;
    identity.self.id = state::HostId(id);
    identity.self.peer = {"127.0.0.1", port};
    identity.incarnation = origin;
    return identity;
  }

  void AddHost(const state::HostIdentity& other,
               state::HostState host_state = state::HostState::kAlive) {
    this->hosts.Update(other.self.id, [&](state::HostRecord& record) {
      record.listed = other.self;
      record.host_state = host_state;
    });
  }

  state::Ticket Issue(std::uint64_t key = kKey) {
    return state::ValueOf(
        this->executor.IssueTicket(state::ServiceId("swipes"), key));
  }

  /// \brief Runs an action; the result receives the replies.
  std::shared_ptr<std::vector<state::ActionReply>> Ask(
      const state::Action& action) {
    const std::shared_ptr<std::vector<state::ActionReply>> replies =
        std::make_shared<std::vector<state::ActionReply>>();
    this->forwarder.Run(action, [replies](const state::ActionReply& reply) {
      replies->push_back(reply);
    });
    return replies;
  }

  SimulatedFleet& fleet;
  const state::HostIdentity identity;
  ProcessTimers timers;
  ProcessBackend backend;
  SeededRandomSource random;
  ClosableGate gate;
  ListedOrderSelector selector;
  state::CatalogueTable catalogue;
  state::HostTable hosts;
  TicketTable tickets;
  ActionExecutor executor;
  ProcessLink link;
  ActionForwarder forwarder;
};

inline state::Action ActionWith(const state::Ticket& ticket,
                                const std::string& ask = "1") {
  return {ticket, state::ServiceId("swipes"), kKey, state::Milliseconds(500),
          ask};
}

}  // namespace banyanknot::coordination::action_test

#endif  // BANYANKNOT_TEST_COORDINATION_ACTIONS_ACTION_WORLD_H_
