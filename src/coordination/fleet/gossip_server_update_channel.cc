#include "banyanknot/coordination/fleet/gossip_server_update_channel.h"

#include <variant>

#include "banyanknot/coordination/fleet/peer_message_size.h"

namespace banyanknot::coordination {
namespace {

constexpr std::size_t kServerUpdatesPerMessage = 8;
constexpr std::size_t kMaxInstances = 16'384;
constexpr state::Duration kPhaseRetention = state::Milliseconds(3'600'000);

std::string KeyOf(const ServerUpdate& update) {
  return update.server.Text() + '\n' + update.instance.Text();
}

/// Returns the server updates of a message; null if its kind carries none.
const std::vector<ServerUpdate>* ServerUpdatesOf(const PeerMessage& message) {
  if (const PeerPing* ping = std::get_if<PeerPing>(&message)) {
    return &ping->server_updates;
  }
  if (const PeerPong* pong = std::get_if<PeerPong>(&message)) {
    return &pong->server_updates;
  }
  if (const PeerUpdates* updates = std::get_if<PeerUpdates>(&message)) {
    return &updates->server_updates;
  }
  return nullptr;
}

}  // namespace

GossipServerUpdateChannel::GossipServerUpdateChannel(const Clock& clock,
                                                     const MembershipView& view,
                                                     PeerSelector& selector,
                                                     PeerLink& link,
                                                     RateBudget& budget)
    : clock(clock),
      view(view),
      selector(selector),
      link(link),
      budget(budget) {}

void GossipServerUpdateChannel::Publish(const ServerUpdate& update) {
  if (this->ApplyUpdate(update) == Spread::kAtOnce) {
    this->Forward(update, this->view.Self().self.id);
  }
}

void GossipServerUpdateChannel::Subscribe(ServerUpdateListener& listener) {
  const std::lock_guard<std::mutex> lock(this->listeners_mutex);
  this->listeners.push_back(&listener);
}

GossipServerUpdateChannel::Spread GossipServerUpdateChannel::ApplyUpdate(
    const ServerUpdate& update) {
  const state::TimePoint now = this->clock.Now();
  const state::TimePoint entered_at = now - update.age;
  if (this->latest_phases.Size() > kMaxInstances) {
    this->latest_phases.RemoveIf(
        [now](const std::string& /*key*/, const LatestPhase& latest) {
          return now - latest.entered_at > kPhaseRetention;
        });
  }
  const Spread spread =
      this->latest_phases.Update(KeyOf(update), [&](LatestPhase& latest) {
        if (latest.is_set && (latest.phase == update.phase ||
                              latest.phase == state::ServerPhase::kLeaving)) {
          return Spread::kNone;
        }
        const bool is_leaving = update.phase == state::ServerPhase::kLeaving;
        const bool is_older =
            latest.is_set && entered_at < latest.entered_at && !is_leaving;
        if (is_older) return Spread::kNone;
        const bool is_new_instance =
            !latest.is_set && update.phase == state::ServerPhase::kCold;
        latest = {update.phase, entered_at, true};
        return is_leaving || is_new_instance ? Spread::kAtOnce
                                             : Spread::kWithHeartbeats;
      });
  if (spread != Spread::kNone) {
    this->queue.Add(KeyOf(update), {update, entered_at});
  }
  return spread;
}

void GossipServerUpdateChannel::Forward(const ServerUpdate& update,
                                        const state::HostId& from) {
  const PeerMessage message = PeerUpdates{{}, {update}};
  for (const state::HostRecord& host : this->selector.PickGossipTargets(from)) {
    this->budget.Charge(EstimateSize(message));
    this->link.Send(host.listed.peer, message);
  }
}

std::vector<ServerUpdate> GossipServerUpdateChannel::TakeServerUpdates() {
  const std::size_t limit =
      MaxTransmissions(this->view.ReachableHosts().size());
  const state::TimePoint now = this->clock.Now();
  std::vector<ServerUpdate> taken;
  for (DatedUpdate& dated : this->queue.Take(kServerUpdatesPerMessage, limit)) {
    dated.update.age = now - dated.entered_at;
    taken.push_back(dated.update);
  }
  return taken;
}

void GossipServerUpdateChannel::OnPeerMessage(const PeerEnvelope& envelope) {
  const std::vector<ServerUpdate>* received = ServerUpdatesOf(envelope.message);
  if (received != nullptr) this->HandleUpdates(*received, envelope.from);
}

void GossipServerUpdateChannel::HandleUpdates(
    const std::vector<ServerUpdate>& received, const state::HostId& from) {
  for (const ServerUpdate& update : received) {
    const Spread spread = this->ApplyUpdate(update);
    if (spread == Spread::kNone) continue;
    if (spread == Spread::kAtOnce) this->Forward(update, from);
    std::vector<ServerUpdateListener*> subscribers;
    {
      const std::lock_guard<std::mutex> lock(this->listeners_mutex);
      subscribers = this->listeners;
    }
    for (ServerUpdateListener* listener : subscribers) {
      listener->OnServerUpdate(update, from);
    }
  }
}

}  // namespace banyanknot::coordination
