#include "host_policies.h"

namespace banyanknot::daemons {

HostPolicies::HostPolicies(PolicySet set, const coordination::Clock& clock,
                           coordination::RandomSource& random,
                           const state::CatalogueTable& catalogue,
                           const state::ServerTable& servers,
                           coordination::ServerGate& gate)
    : gate(gate) {
  switch (set) {
    case PolicySet::kFull:
      this->admission = std::make_unique<coordination::ClassAdmission>(clock);
      this->snapshots = std::make_unique<coordination::ReportedSnapshotPolicy>(
          clock, servers);
      this->selector = std::make_unique<coordination::LoadAwareReplicaSelector>(
          clock, random, servers);
      this->hedges =
          std::make_unique<coordination::QuantileHedgePolicy>(catalogue);
      this->retries =
          std::make_unique<coordination::BudgetRetryPolicy>(catalogue);
      return;
    case PolicySet::kNaive:
      this->admission = std::make_unique<coordination::AdmitAllPolicy>();
      this->snapshots =
          std::make_unique<coordination::FirstReplySnapshotPolicy>();
      this->selector =
          std::make_unique<coordination::RandomReplicaSelector>(random);
      this->hedges = std::make_unique<coordination::NoHedgePolicy>();
      this->retries = std::make_unique<coordination::NoRetryPolicy>();
      return;
  }
}

coordination::QueryPolicies HostPolicies::ForQueries() const {
  return {*this->admission, *this->snapshots, *this->selector,
          this->gate,       *this->hedges,    *this->retries};
}

}  // namespace banyanknot::daemons
