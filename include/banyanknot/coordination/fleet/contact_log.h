#ifndef BANYANKNOT_COORDINATION_FLEET_CONTACT_LOG_H_
#define BANYANKNOT_COORDINATION_FLEET_CONTACT_LOG_H_

#include <atomic>
#include <cstddef>

#include "banyanknot/state/identifier.h"
#include "banyanknot/state/sharded_table.h"
#include "banyanknot/state/util/time.h"

namespace banyanknot::coordination {

/// \brief Records when the platform and peers last confirmed this host's view.
///
/// Thread-safe. Times are those at which the answered request was sent: a
/// reply that was buffered while this process was paused proves nothing about
/// the time since.
class ContactLog {
 public:
  /// \brief Records a reply of the platform to a request sent at `asked_at`.
  void RecordPlatform(state::TimePoint asked_at);

  /// \brief Records a reply of a peer that has no newer catalogue.
  void RecordPeer(const state::HostId& peer,
                  const state::FailureDomainId& domain,
                  state::TimePoint asked_at);

  state::TimePoint LastPlatform() const;

  /// \brief Returns how many peers confirmed the view at `since` or later.
  std::size_t PeersSince(state::TimePoint since) const;

  /// \brief Like PeersSince(), but only those outside `domain`.
  std::size_t PeersOutside(const state::FailureDomainId& domain,
                           state::TimePoint since) const;

  /// \brief Removes peers whose last confirmation is before `before`.
  void Prune(state::TimePoint before);

 private:
  struct Contact {
    state::FailureDomainId domain;
    state::TimePoint asked_at;
  };

  std::atomic<state::Duration::rep> platform{0};
  state::ShardedTable<state::HostId, Contact> peers;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_FLEET_CONTACT_LOG_H_
