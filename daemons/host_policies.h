#ifndef BANYANKNOT_DAEMONS_HOST_POLICIES_H_
#define BANYANKNOT_DAEMONS_HOST_POLICIES_H_

#include <memory>

#include "banyanknot/Coordination"
#include "host_settings.h"

namespace banyanknot::daemons {

/// \brief Constructs and owns the policies of a PolicySet.
class HostPolicies {
 public:
  /// \param gate used with every set; must outlive this object
  HostPolicies(PolicySet set, const coordination::Clock& clock,
               coordination::RandomSource& random,
               const state::CatalogueTable& catalogue,
               const state::ServerTable& servers,
               coordination::ServerGate& gate);

  coordination::QueryPolicies ForQueries() const;

 private:
  coordination::ServerGate& gate;
  std::unique_ptr<coordination::AdmissionPolicy> admission;
  std::unique_ptr<coordination::SnapshotPolicy> snapshots;
  std::unique_ptr<coordination::ReplicaSelector> selector;
  std::unique_ptr<coordination::HedgePolicy> hedges;
  std::unique_ptr<coordination::RetryPolicy> retries;
};

}  // namespace banyanknot::daemons

#endif  // BANYANKNOT_DAEMONS_HOST_POLICIES_H_
