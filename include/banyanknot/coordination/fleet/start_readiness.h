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

/// \brief Ready once the catalogue was confirmed by peers, or was read from
/// the platform and no peer answered in time.
///
/// Thread-safe. Once ready it stays so; leaving is StopSequence's matter. A
/// host without any catalogue is never ready.
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
