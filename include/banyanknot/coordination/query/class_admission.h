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

/// \brief Sheds the lowest class first when this host has too much in flight.
///
/// Each service has its own limit of queries in flight. Above that, a limit of
/// sub-requests in flight adapts to how queries end; a class sees only the load
/// of its own and higher classes, so lower ones can't push it out, and lower
/// classes leave room for the recent peak of the higher ones. Refuses at once,
/// before anything runs.
///
/// Thread-safe. Services are in shards; the adaptive limit is one record for
/// the host under its own lock, taken twice a query.
class ClassAdmission : public AdmissionPolicy {
 public:
  explicit ClassAdmission(const Clock& clock);

  AdmissionResult Admit(const state::ServiceEntry& service) override;
  void OnFinished(const AdmissionTicket& ticket,
                  const QueryEnding& ending) override;

 private:
  static constexpr std::size_t kClasses = state::kServiceClassNames.size();

  struct ServiceLoad {
    std::uint32_t in_flight = 0;
    double best_ms = 0;  // elapsed time of a query without congestion
  };
  struct HostLoad {
    explicit HostLoad(state::TimePoint now) : limit(now), faded_at(now) {}

    /// \brief What a query of a class has to leave room for.
    double LoadAgainst(state::ServiceClass service_class) const;
    double Total() const;
    void Add(state::ServiceClass service_class, double weight);
    void FadePeaks(state::TimePoint now);

    std::mutex mutex;
    ConcurrencyLimit limit;
    std::array<double, kClasses> in_flight{};  // by class
    std::array<double, kClasses> peaks{};      // of late, by class
    state::TimePoint faded_at;
  };

  bool TakeServiceSlot(const state::ServiceEntry& service);
  void ReturnServiceSlot(const state::ServiceId& service);
  bool TakeHostSlots(const AdmissionTicket& ticket);
  Congestion JudgeEnding(const AdmissionTicket& ticket,
                         const QueryEnding& ending);

  const Clock& clock;
  state::ShardedTable<state::ServiceId, ServiceLoad> services;
  HostLoad host;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_QUERY_CLASS_ADMISSION_H_
