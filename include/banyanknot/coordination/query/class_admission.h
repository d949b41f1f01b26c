#ifndef BANYANKNOT_COORDINATION_QUERY_CLASS_ADMISSION_H_
#define BANYANKNOT_COORDINATION_QUERY_CLASS_ADMISSION_H_

#include <array>
#include <cstdint>
#include <mutex>

#include "banyanknot/coordination/clock.h"
#include "banyanknot/coordination/query/admission_policy.h"
#include "banyanknot/coordination/query/concurrency_limit.h"
#include "banyanknot/state/sharded_table.h"

namespace banyanknot::coordination {

/// \brief Sheds the lowest service class first when this host is overloaded.
///
/// Each service has a limit of queries in flight. In addition, the host has an
/// adaptive limit of sub-requests in flight. Only the load of its own and
/// higher classes counts against a class, so lower classes can't displace it,
/// and of the higher classes the recent peak counts, which keeps capacity free
/// for them. Refuses without queueing, before any sub-request is sent.
///
/// Thread-safe. Services are in a sharded table; the adaptive limit is one
/// record for the host under its own lock, which each query takes twice.
class ClassAdmission : public AdmissionPolicy {
 public:
  explicit ClassAdmission(const Clock& clock);

  AdmissionResult Admit(const state::ServiceEntry& service) override;
  void OnFinished(const AdmissionTicket& ticket,
                  const QueryCompletion& completion) override;

 private:
  static constexpr std::size_t kClasses = state::kServiceClassNames.size();

  struct ServiceLoad {
    std::uint32_t in_flight = 0;
    double baseline_ms = 0;  // latency of a query without congestion
  };
  struct HostLoad {
    explicit HostLoad(state::TimePoint now) : limit(now), decayed_at(now) {}

    /// \brief Returns the load that counts against a query of a class.
    double CompetingLoad(state::ServiceClass service_class) const;
    double Total() const;
    void Add(state::ServiceClass service_class, double weight);
    void DecayPeaks(state::TimePoint now);

    std::mutex mutex;
    ConcurrencyLimit limit;
    std::array<double, kClasses> in_flight{};  // by class
    std::array<double, kClasses>
        peaks{};  // decaying maximum of in_flight, by class
    state::TimePoint decayed_at;
  };

  bool TryAcquireServiceSlot(const state::ServiceEntry& service);
  void ReleaseServiceSlot(const state::ServiceId& service);
  bool TryAcquireHostCapacity(const AdmissionTicket& ticket);
  Congestion ClassifyCongestion(const AdmissionTicket& ticket,
                                const QueryCompletion& completion);

  const Clock& clock;
  state::ShardedTable<state::ServiceId, ServiceLoad> services;
  HostLoad host;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_QUERY_CLASS_ADMISSION_H_
