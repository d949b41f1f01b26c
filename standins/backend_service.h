#ifndef BANYANKNOT_STANDINS_BACKEND_SERVICE_H_
#define BANYANKNOT_STANDINS_BACKEND_SERVICE_H_

#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>

#include "action_ledger.h"
#include "backend_behaviour.h"
#include "backend_counters.h"
#include "banyanknot/coordination/clock.h"
#include "banyanknot/coordination/timer_service.h"
#include "banyanknot/transport/http_server.h"
#include "cold_start_model.h"
#include "slot_table.h"
#include "snapshot_store.h"

namespace banyanknot::standins {

/// \brief Stands in for one backend server.
///
/// Thread-safe.
class BackendService : public transport::HttpHandler {
 public:
  BackendService(const coordination::Clock& clock,
                 coordination::TimerService& timers, ActionLedger& ledger,
                 const BackendBehaviour& behaviour);
  void Handle(std::shared_ptr<transport::HttpExchange> exchange) override;

  /// \brief Changes what `value` names; `"turn_cold": true` starts a new
  /// instance.
  std::optional<protocol::ProtocolError> Change(const nlohmann::json& value);
  BackendBehaviour Behaviour() const;
  BackendCounters Counters() const;

 private:
  void HandleSubRequest(
      const std::shared_ptr<transport::HttpExchange>& exchange);
  void HandleCancel(const std::shared_ptr<transport::HttpExchange>& exchange);
  void Arrive(const std::shared_ptr<Job>& job);
  std::optional<state::ReplyStatus> RefusalOf(const state::SubRequest& request,
                                              state::TimePoint now);
  bool HoldsRange(const state::SubRequest& request) const;
  void StartJobs();
  state::Duration DrawServiceTime(state::TimePoint now);
  void End(const std::shared_ptr<Job>& job, state::ReplyStatus status);
  void Reply(const std::shared_ptr<Job>& job, state::ReplyStatus status);
  state::SubReply MakeReply(const Job& job, state::ReplyStatus status);
  state::ServerReport CurrentReport(state::TimePoint now) const;
  state::ServerReport LaggingReport(state::TimePoint now);
  state::Duration LatencyOf(const Job& job) const;

  const coordination::Clock& clock;
  coordination::TimerService& timers;
  ActionLedger& ledger;
  mutable std::mutex mutex;
  BackendBehaviour behaviour;
  SnapshotStore snapshots;
  ColdStartModel cold_start;
  SlotTable slots;
  BackendCounters counters;
  std::mt19937_64 random;
  const std::string start_text;
  state::ServerReport published;
  state::TimePoint published_at;
  state::TimePoint draining_since;
};

}  // namespace banyanknot::standins

#endif  // BANYANKNOT_STANDINS_BACKEND_SERVICE_H_
