#include "banyanknot/coordination/fleet/gossip_server_update_channel.h"

#include <variant>

#include "banyanknot/coordination/fleet/peer_message_size.h"

namespace banyanknot::coordination {
namespace {

constexpr std::size_t kServerUpdatesPerMessage = 8;
constexpr std::size_t kMaxSeen = 16'384;
constexpr state::Duration kSeenLife = state::Milliseconds(3'600'000);

std::string KeyOf(const ServerUpdate& update) {
  return update.server.Text() + '\n' + update.instance.Text();
}

/// The notes that a message carries; null if that kind carries none.
const std::vector<ServerUpdate>* ServerUpdatesOf(const PeerMessage& message) {
  if (const PeerPing* ping = std::get_if<PeerPing>(&message)) {
    return &ping->server_updates;
  }
  if (const PeerPong* pong = std::get_if<PeerPong>(&message)) {
    return &pong->server_updates;
  }
  if (const PeerUpdates* news = std::get_if<PeerUpdates>(&message)) {
    return &news->server_updates;
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
  if (this->ApplyUpdate(update))
    this->ForwardIfLeaving(update, this->view.Self().self.id);
}

void GossipServerUpdateChannel::Subscribe(ServerUpdateListener& listener) {
  const std::lock_guard<std::mutex> lock(this->listeners_mutex);
  this->listeners.push_back(&listener);
}

bool GossipServerUpdateChannel::ApplyUpdate(const ServerUpdate& update) {
  const state::TimePoint now = this->clock.Now();
  const state::TimePoint entered_at = now - update.age;
  if (this->seen.Size() > kMaxSeen) {
    this->seen.RemoveIf([now](const std::string& /*key*/, const Seen& seen) {
      return now - seen.entered_at > kSeenLife;
    });
  }
  const bool is_new = this->seen.Update(KeyOf(update), [&](Seen& seen) {
    if (seen.is_set && (seen.phase == update.phase ||
                        seen.phase == state::ServerPhase::kLeaving)) {
      return false;
    }
    const bool is_older = seen.is_set && entered_at < seen.entered_at &&
                          update.phase != state::ServerPhase::kLeaving;
    if (is_older) return false;
    seen = {update.phase, entered_at, true};
    return true;
  });
  if (is_new) this->queue.Add(KeyOf(update), {update, entered_at});
  return is_new;
}

void GossipServerUpdateChannel::ForwardIfLeaving(const ServerUpdate& update,
                                                 const state::HostId& from) {
  if (update.phase != state::ServerPhase::kLeaving) return;
  const PeerMessage news = PeerUpdates{{}, {update}};
  for (const state::HostRecord& host : this->selector.PickGossipTargets(from)) {
    this->budget.Charge(EstimateSize(news));
    this->link.Send(host.listed.peer, news);
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
  if (received != nullptr) this->Receive(*received, envelope.from);
}

void GossipServerUpdateChannel::Receive(
    const std::vector<ServerUpdate>& received, const state::HostId& from) {
  for (const ServerUpdate& update : received) {
    if (!this->ApplyUpdate(update)) continue;
    this->ForwardIfLeaving(update, from);
    std::vector<ServerUpdateListener*> told;
    {
      const std::lock_guard<std::mutex> lock(this->listeners_mutex);
      told = this->listeners;
    }
    for (ServerUpdateListener* listener : told) {
      listener->OnServerUpdate(update, from);
    }
  }
}

}  // namespace banyanknot::coordination
