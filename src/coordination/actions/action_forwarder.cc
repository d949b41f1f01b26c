#include "banyanknot/coordination/actions/action_forwarder.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <variant>

namespace banyanknot::coordination {
namespace {

// Call numbers start at the incarnation shifted by these bits, so they are
// unique across incarnations.
constexpr unsigned kCallNumberBits = 20;
constexpr std::size_t kMaxCalls = 8'192;
constexpr state::Duration kFirstResendDelay = state::Milliseconds(100);
constexpr int kResendBackoff = 2;
constexpr state::Duration kRetryAfter = state::Milliseconds(1'000);

state::ActionReply Unknown(const char* reason) {
  return {state::Outcome::kUnknown, reason, {}, kRetryAfter};
}

}  // namespace

ActionForwarder::ActionForwarder(const state::HostIdentity& identity,
                                 const Clock& clock, TimerService& timers,
                                 PeerLink& link, const state::HostTable& hosts,
                                 const state::CatalogueTable& catalogue,
                                 ActionExecutor& executor)
    : identity(identity),
      clock(clock),
      timers(timers),
      link(link),
      hosts(hosts),
      catalogue(catalogue),
      executor(executor),
      next_number((identity.incarnation << kCallNumberBits) + 1) {}

void ActionForwarder::Run(const state::Action& action, ActionHandler handler) {
  if (action.ticket.host == this->identity.self.id) {
    const WaiterId waiter{this->identity.self.id,
                          this->next_number.fetch_add(1)};
    this->executor.Run(action, waiter, handler);
  } else {
    this->Forward(action, std::move(handler));
  }
}

void ActionForwarder::Forward(const state::Action& action,
                              ActionHandler handler) {
  const std::optional<state::HostRecord> host =
      this->hosts.Find(action.ticket.host);
  if (!host) {
    handler(Unknown("the host that issued the ticket is not known here"));
    return;
  }
  if (host->host_state == state::HostState::kDead) {
    handler(Unknown("the host that issued the ticket is gone"));
    return;
  }
  if (this->calls.Size() >= kMaxCalls) {
    handler(Unknown("too many actions wait for other hosts"));
    return;
  }
  const std::uint64_t number = this->next_number.fetch_add(1);
  const state::TimePoint deadline =
      this->clock.Now() + this->TimeoutFor(action);
  this->calls.Insert(number,
                     {action, host->listed.peer, deadline, std::move(handler)});
  this->timers.RunAt(deadline + kActionReplyMargin, [this, number] {
    const std::optional<Call> call = this->calls.Take(number);
    if (call) call->handler(Unknown("no result came in time"));
  });
  this->SendCall(number, kFirstResendDelay);
}

state::Duration ActionForwarder::TimeoutFor(const state::Action& action) const {
  const std::shared_ptr<const state::ServiceEntry> service =
      this->catalogue.FindService(action.service);
  const state::ServiceLimits limits =
      service == nullptr ? state::ServiceLimits() : service->limits;
  return action.deadline.count() == 0
             ? limits.default_deadline
             : std::min(action.deadline, limits.max_deadline);
}

void ActionForwarder::SendCall(std::uint64_t number,
                               state::Duration resend_delay) {
  const std::optional<Call> call = this->calls.Find(number);
  if (!call) return;
  const state::TimePoint now = this->clock.Now();
  if (now >= call->deadline) return;
  PeerAction message{number, this->identity.self.peer, call->action};
  message.action.deadline = call->deadline - now;
  this->link.Send(call->endpoint, message);
  this->timers.RunAt(now + resend_delay, [this, number, resend_delay] {
    this->SendCall(number, resend_delay * kResendBackoff);
  });
}

void ActionForwarder::OnPeerMessage(const PeerEnvelope& envelope) {
  if (const PeerAction* action = std::get_if<PeerAction>(&envelope.message)) {
    this->OnAction(envelope.from, *action);
  } else if (const PeerActionResult* result =
                 std::get_if<PeerActionResult>(&envelope.message)) {
    this->OnResult(envelope.from, *result);
  }
}

void ActionForwarder::OnAction(const state::HostId& from,
                               const PeerAction& message) {
  if (message.action.ticket.host != this->identity.self.id) return;
  if (message.action.deadline.count() <= 0) return;
  const std::uint64_t number = message.call;
  const state::Endpoint reply_to = message.reply_to;
  this->executor.Run(
      message.action, {from, number},
      [this, number, reply_to,
       ticket = message.action.ticket](state::ActionReply reply) {
        this->link.Send(reply_to,
                        PeerActionResult{number, ticket, std::move(reply)});
      });
}

void ActionForwarder::OnResult(const state::HostId& from,
                               const PeerActionResult& message) {
  const std::optional<Call> waiting = this->calls.Find(message.call);
  if (!waiting || waiting->action.ticket != message.ticket) return;
  if (message.ticket.host != from) return;
  const std::optional<Call> call = this->calls.Take(message.call);
  if (call) call->handler(message.reply);
}

}  // namespace banyanknot::coordination
