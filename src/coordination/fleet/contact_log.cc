#include "banyanknot/coordination/fleet/contact_log.h"

#include <algorithm>

namespace banyanknot::coordination {

void ContactLog::RecordPlatform(state::TimePoint asked_at) {
  const state::Duration::rep asked = asked_at.time_since_epoch().count();
  state::Duration::rep last = this->platform.load();
  while (last < asked && !this->platform.compare_exchange_weak(last, asked)) {
  }
}

void ContactLog::RecordPeer(const state::HostId& peer,
                            const state::FailureDomainId& domain,
                            state::TimePoint asked_at) {
  this->peers.Update(peer, [&domain, asked_at](Contact& contact) {
    contact.domain = domain;
    contact.asked_at = std::max(contact.asked_at, asked_at);
  });
}

state::TimePoint ContactLog::LastPlatform() const {
  return state::TimePoint(state::Duration(this->platform.load()));
}

std::size_t ContactLog::PeersSince(state::TimePoint since) const {
  std::size_t count = 0;
  this->peers.ForEach(
      [&count, since](const state::HostId& /*peer*/, const Contact& contact) {
        if (contact.asked_at >= since) ++count;
      });
  return count;
}

std::size_t ContactLog::PeersOutside(const state::FailureDomainId& domain,
                                     state::TimePoint since) const {
  std::size_t count = 0;
  this->peers.ForEach([&count, &domain, since](const state::HostId& /*peer*/,
                                               const Contact& contact) {
    if (contact.asked_at >= since && contact.domain != domain) ++count;
  });
  return count;
}

void ContactLog::Prune(state::TimePoint before) {
  this->peers.RemoveIf(
      [before](const state::HostId& /*peer*/, const Contact& contact) {
        return contact.asked_at < before;
      });
}

}  // namespace banyanknot::coordination
