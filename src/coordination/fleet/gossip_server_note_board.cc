#include "banyanknot/coordination/fleet/gossip_server_note_board.h"

#include <variant>

#include "banyanknot/coordination/fleet/peer_message_size.h"

namespace banyanknot::coordination {
namespace {

constexpr std::size_t kNotesPerMessage = 8;
constexpr std::size_t kMaxSeen = 16'384;
constexpr state::Duration kSeenLife = state::Milliseconds(3'600'000);

std::string KeyOf(const ServerNote& note) {
  return note.server.Text() + '\n' + note.instance.Text();
}

/// The notes that a message carries; null if that kind carries none.
const std::vector<ServerNote>* NotesOf(const PeerMessage& message) {
  if (const PeerPing* ping = std::get_if<PeerPing>(&message)) {
    return &ping->notes;
  }
  if (const PeerPong* pong = std::get_if<PeerPong>(&message)) {
    return &pong->notes;
  }
  if (const PeerNews* news = std::get_if<PeerNews>(&message)) {
    return &news->notes;
  }
  return nullptr;
}

}  // namespace

GossipServerNoteBoard::GossipServerNoteBoard(const Clock& clock,
                                             const MembershipView& view,
                                             PeerSelector& selector,
                                             PeerLink& link, RateBudget& budget)
    : clock(clock),
      view(view),
      selector(selector),
      link(link),
      budget(budget) {}

void GossipServerNoteBoard::Publish(const ServerNote& note) {
  if (this->TakeIn(note)) this->PassOn(note, this->view.Self().self.id);
}

void GossipServerNoteBoard::Subscribe(ServerNoteListener& listener) {
  const std::lock_guard<std::mutex> lock(this->listeners_mutex);
  this->listeners.push_back(&listener);
}

bool GossipServerNoteBoard::TakeIn(const ServerNote& note) {
  const state::TimePoint now = this->clock.Now();
  const state::TimePoint entered_at = now - note.age;
  if (this->seen.Size() > kMaxSeen) {
    this->seen.RemoveIf([now](const std::string& /*key*/, const Seen& seen) {
      return now - seen.entered_at > kSeenLife;
    });
  }
  const bool is_new = this->seen.Update(KeyOf(note), [&](Seen& seen) {
    if (seen.is_set && (seen.phase == note.phase ||
                        seen.phase == state::ServerPhase::kLeaving)) {
      return false;
    }
    const bool is_older = seen.is_set && entered_at < seen.entered_at &&
                          note.phase != state::ServerPhase::kLeaving;
    if (is_older) return false;
    seen = {note.phase, entered_at, true};
    return true;
  });
  if (is_new) this->queue.Add(KeyOf(note), {note, entered_at});
  return is_new;
}

void GossipServerNoteBoard::PassOn(const ServerNote& note,
                                   const state::HostId& from) {
  if (note.phase != state::ServerPhase::kLeaving) return;
  const PeerMessage news = PeerNews{{}, {note}};
  for (const state::HostRecord& host : this->selector.PickForNews(from)) {
    this->budget.Charge(EstimateSize(news));
    this->link.Send(host.listed.peer, news);
  }
}

std::vector<ServerNote> GossipServerNoteBoard::TakeNotes() {
  const std::size_t limit =
      TransmissionLimit(this->view.ReachableHosts().size());
  const state::TimePoint now = this->clock.Now();
  std::vector<ServerNote> taken;
  for (DatedNote& dated : this->queue.Take(kNotesPerMessage, limit)) {
    dated.note.age = now - dated.entered_at;
    taken.push_back(dated.note);
  }
  return taken;
}

void GossipServerNoteBoard::OnPeerMessage(const PeerEnvelope& envelope) {
  const std::vector<ServerNote>* received = NotesOf(envelope.message);
  if (received != nullptr) this->Receive(*received, envelope.from);
}

void GossipServerNoteBoard::Receive(const std::vector<ServerNote>& received,
                                    const state::HostId& from) {
  for (const ServerNote& note : received) {
    if (!this->TakeIn(note)) continue;
    this->PassOn(note, from);
    std::vector<ServerNoteListener*> told;
    {
      const std::lock_guard<std::mutex> lock(this->listeners_mutex);
      told = this->listeners;
    }
    for (ServerNoteListener* listener : told) {
      listener->OnServerNote(note, from);
    }
  }
}

}  // namespace banyanknot::coordination
