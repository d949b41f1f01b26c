#ifndef BANYANKNOT_COORDINATION_FLEET_START_READINESS_H_
#define BANYANKNOT_COORDINATION_FLEET_START_READINESS_H_

#include <atomic>
#include <string>

#include "banyanknot/coordination/audit_sink.h"
#include "banyanknot/coordination/catalogue_follower.h"
#include "banyanknot/coordination/clock.h"
#include "banyanknot/coordination/digest_source.h"
#include "banyanknot/coordination/fleet/contact_log.h"
#include "banyanknot/coordination/membership_view.h"
#include "banyanknot/coordination/readiness.h"

namespace banyanknot::coordination {

/// \brief Reports readiness once peers have confirmed the catalogue, or after a
/// timeout if it was read from the platform or confirmed by any peer.
///
/// Thread-safe. Stays ready from then on; StopSequence withdraws readiness at
/// the stop. A host without a catalogue is never ready.
class StartReadiness : public Readiness {
 public:
  StartReadiness(const Clock& clock, const MembershipView& view,
                 const DigestSource& digests, const CatalogueFollower& follower,
                 const ContactLog& contacts, AuditSink& audit);
  bool IsReady() const override;

 private:
  void MarkReady(const std::string& reason) const;

  const Clock& clock;
  const MembershipView& view;
  const DigestSource& digests;
  const CatalogueFollower& follower;
  const ContactLog& contacts;
  AuditSink& audit;
  const state::TimePoint started_at;
  mutable std::atomic<bool> is_ready{false};
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_FLEET_START_READINESS_H_
