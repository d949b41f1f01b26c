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

/// \brief Applies observations and gossip to the table of hosts.
///
/// Thread-safe. A higher incarnation overrides a lower one. Within an
/// incarnation a goodbye is final; otherwise the higher refutation number wins,
/// then the worse state. Each change is audited and queued for gossip.
class HostRegistry {
 public:
  HostRegistry(const state::HostIdentity& self, const Clock& clock,
               state::HostTable& table, AuditSink& audit);

  /// \brief Applies the platform's host list, which lags behind the fleet.
  void ApplyList(const std::vector<state::ListedHost>& hosts);

  /// \brief Applies a host update received from the peer `from`.
  ///
  /// An update that suspects this host or declares it dead is refuted.
  void ApplyHostUpdate(const HostUpdate& update, const state::HostId& from);

  /// \brief Records a message received from the host itself.
  ///
  /// \param sender the host's own description, if the message carries it
  /// \returns true if this incarnation was not known yet
  bool ApplyContact(const state::HostId& id, std::uint64_t incarnation,
                    const std::optional<state::ListedHost>& sender);

  /// \brief Marks the host as left after its goodbye message.
  void ApplyGoodbye(const state::HostId& id, std::uint64_t incarnation);

  /// \brief Marks a host as suspect that answered neither a direct nor an
  /// indirect probe.
  ///
  /// One that was listed but never heard is declared dead at once.
  void Suspect(const state::HostId& id);

  /// \brief Declares hosts dead whose suspicion timed out, and removes records
  /// of unlisted hosts that were dead or had left for the retention time.
  void Expire();

  /// \brief Returns the host updates for the next message to `receiver`.
  ///
  /// Each is sent a bounded number of times. An update on the receiver itself
  /// is added while it is held suspect or dead, so that it can refute it.
  std::vector<HostUpdate> TakeHostUpdates(const state::HostId& receiver);

  /// \brief Returns updates on all hosts alive, for a host that joins.
  std::vector<HostUpdate> AliveHostUpdates() const;

  /// \brief Returns the update that this host gossips about itself.
  HostUpdate SelfUpdate() const;

  /// \brief Makes later self updates announce that this host is leaving.
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
