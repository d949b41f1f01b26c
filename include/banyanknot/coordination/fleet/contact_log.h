#ifndef BANYANKNOT_COORDINATION_FLEET_CONTACT_LOG_H_
#define BANYANKNOT_COORDINATION_FLEET_CONTACT_LOG_H_

#include <atomic>
#include <cstddef>

#include "banyanknot/state/identifier.h"
#include "banyanknot/state/sharded_table.h"
#include "banyanknot/state/util/time.h"

namespace banyanknot::coordination {

/// \brief Keeps when this host last had its view confirmed, and by whom.
///
/// Thread-safe. Times are those at which a question was asked that was then
/// answered: an answer that waited in a buffer while this process was paused
/// proves nothing of the time since.
class ContactLog {
 public:
  /// \brief The platform answered what was asked at `asked_at`.
  void RecordPlatform(state::TimePoint asked_at);

  /// \brief A peer that knows nothing newer answered.
  void RecordPeer(const state::HostId& peer,
                  const state::FailureDomainId& domain,
                  state::TimePoint asked_at);

  state::TimePoint LastPlatform() const;

  /// \brief Number of peers that confirmed the view at `since` or later.
  std::size_t PeersSince(state::TimePoint since) const;

  /// \brief Like PeersSince(), but only those outside `domain`.
  std::size_t PeersOutside(const state::FailureDomainId& domain,
                           state::TimePoint since) const;

  /// \brief Forgets peers that were last heard before `before`.
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
