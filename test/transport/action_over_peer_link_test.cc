#include <catch2/catch.hpp>
#include <cstdint>
#include <future>
#include <memory>
#include <string>

#include "banyanknot/Coordination"
#include "banyanknot/State"
#include "banyanknot/Transport"
#include "transport/peer_link_fakes.h"

namespace banyanknot::transport {
namespace {

// Counts attempts and replies to each on a timer thread.
class CountingBackend : public coordination::BackendClient {
 public:
  CountingBackend(const coordination::Clock& clock,
                  coordination::TimerService& timers)
      : clock(clock), timers(timers) {}
  void Send(const state::SubRequest& request,
            coordination::BackendHandler handler) override {
    ++this->sent;
    state::SubReply reply;
    reply.request = request.request;
    reply.attempt = request.attempt;
    reply.shard = request.shard;
    reply.status = state::ReplyStatus::kOk;
    this->timers.RunAt(this->clock.Now(), [handler, reply] { handler(reply); });
  }
  void Cancel(const state::SubRequest& /*request*/) override {}

  std::atomic<int> sent{0};

 private:
  const coordination::Clock& clock;
  coordination::TimerService& timers;
};

// A host with the components that actions need, connected over TCP.
struct SocketHost {
  SocketHost(const std::string& id, std::uint64_t origin)
      : threads(2),
        timers(threads.Context()),
        backend(clock, timers),
        random(origin),
        selector(random),
        gate(clock),
        tickets(state::HostId(id), origin, clock, random, {}),
        executor(clock, timers, backend, catalogue, selector, gate, policy,
                 tickets) {
    this->identity.self.id = state::HostId(id);
    this->identity.incarnation = origin;
    this->link =
        std::make_unique<PeerTcpLink>(this->threads.Context(), this->identity,
                                      this->router, PeerLinkLimits());
    this->identity.self.peer = {
        "127.0.0.1", state::ValueOf(this->link->Listen({"127.0.0.1", 0}))};
    this->forwarder = std::make_unique<coordination::ActionForwarder>(
        this->identity, this->clock, this->timers, *this->link, this->hosts,
        this->catalogue, this->executor);
    this->router.Add(this->forwarder.get());
    this->PutService();
  }
  ~SocketHost() { this->threads.Stop(); }

  void PutService() {
    state::ServiceEntry service;
    service.id = state::ServiceId("swipes");
    service.key_space = {0, 10};
    service.shards = {{1, {0, 10}, {state::ServerId("s1")}}};
    service.servers.resize(1);
    service.servers[0].id = state::ServerId("s1");
    service.limits.max_deadline = state::Milliseconds(60'000);
    state::CatalogueRecord record;
    record.key = "service/swipes";
    record.revision = 1;
    record.content = std::make_shared<const state::CatalogueContent>(service);
    this->catalogue.Put(record);
  }

  SteadyClock clock;
  state::HostIdentity identity;
  state::CatalogueTable catalogue;
  state::HostTable hosts;
  IoThreads threads;
  AsioTimerService timers;
  CountingBackend backend;
  coordination::SeededRandomSource random;
  coordination::RandomReplicaSelector selector;
  coordination::OpenServerGate gate;
  coordination::AtMostOncePolicy policy;
  coordination::TicketTable tickets;
  coordination::ActionExecutor executor;
  coordination::PeerRouter router;
  std::unique_ptr<PeerTcpLink> link;
  std::unique_ptr<coordination::ActionForwarder> forwarder;
};

TEST_CASE(
    "An action forwarded over TCP runs once, on the host that issued its "
    "ticket") {
  SocketHost issuer("issuer", 1);
  SocketHost other("other", 2);
  other.hosts.Update(state::HostId("issuer"), [&](state::HostRecord& record) {
    record.listed = issuer.identity.self;
    record.host_state = state::HostState::kAlive;
  });
  state::Action action;
  action.ticket = state::ValueOf(
      issuer.executor.IssueTicket(state::ServiceId("swipes"), 5));
  action.service = state::ServiceId("swipes");
  action.key = 5;
  action.deadline = state::Milliseconds(20'000);
  action.ask = "1";
  for (int ask = 0; ask < 3; ++ask) {
    std::promise<state::ActionReply> promise;
    std::future<state::ActionReply> reply = promise.get_future();
    other.forwarder->Run(action, [&promise](const state::ActionReply& given) {
      promise.set_value(given);
    });
    REQUIRE(reply.wait_for(2 * kTestTimeout) == std::future_status::ready);
    CHECK(reply.get().outcome == state::Outcome::kOk);
  }
  CHECK(issuer.backend.sent == 1);
  CHECK(other.backend.sent == 0);
}

}  // namespace
}  // namespace banyanknot::transport
