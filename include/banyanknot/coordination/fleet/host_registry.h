#ifndef BANYANKNOT_COORDINATION_FLEET_HOST_REGISTRY_H_
#define BANYANKNOT_COORDINATION_FLEET_HOST_REGISTRY_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "banyanknot/coordination/audit_sink.h"
#include "banyanknot/coordination/clock.h"
#include "banyanknot/coordination/fleet/update_queue.h"
#include "banyanknot/coordination/peer_message.h"
#include "banyanknot/state/host_record.h"

namespace banyanknot::coordination {

/// \brief Decides what evidence changes in the table of hosts.
///
/// Thread-safe. A later incarnation goes before an earlier one; within one
/// incarnation a goodbye is final, then the greater refutation goes first,
/// then the worse state. Each change is audited and queued to be passed on.
class HostRegistry {
 public:
  HostRegistry(const state::HostIdentity& self, const Clock& clock,
               state::HostTable& table, AuditSink& audit);

  /// \brief Takes the platform's list, which lags.
  void ApplyList(const std::vector<state::ListedHost>& hosts);

  /// \brief Takes what another host says of a third, or of this host.
  void ApplyHostUpdate(const HostUpdate& update, const state::HostId& from);

  /// \brief Takes a message that came from the host itself.
  ///
  /// \param sender what the host says of itself, where the message tells it
  /// \returns true if this incarnation was not known yet
  bool ApplyContact(const state::HostId& id, std::uint64_t incarnation,
                    const std::optional<state::ListedHost>& sender);

  /// \brief The host said goodbye.
  void ApplyGoodbye(const state::HostId& id, std::uint64_t incarnation);

  /// \brief The host did not answer, directly or through others.
  void Suspect(const state::HostId& id);

  /// \brief Declares dead what was suspect for too long and forgets what has
  /// been gone for long.
  void Expire();

  /// \brief Rumours to pass on now, each a bounded number of times.
  ///
  /// \param receiver is told first if it is thought suspect or dead
  std::vector<HostUpdate> TakeHostUpdates(const state::HostId& receiver);

  /// \brief Everything known, for a host that is new.
  std::vector<HostUpdate> AliveHostUpdates() const;

  /// \brief This host's own state, as others should see it.
  HostUpdate SelfUpdate() const;

  /// \brief From now on this host tells that it is leaving.
  void StartLeaving() { this->is_leaving = true; }

 private:
  struct Change {
    state::HostRecord record;
    state::HostState before = state::HostState::kSuspect;
    bool is_new = false;
  };

  void Publish(const Change& change, const std::string& source,
               const std::string& detail);
  void Refute(const HostUpdate& update);
  void MarkReplaced(const state::ListedHost& sender);

  const state::HostIdentity self;
  const Clock& clock;
  state::HostTable& table;
  AuditSink& audit;
  UpdateQueue<state::HostId, HostUpdate> queue;
  std::atomic<std::uint32_t> refutation{0};
  std::atomic<bool> is_leaving{false};
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_FLEET_HOST_REGISTRY_H_
