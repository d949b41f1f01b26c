#ifndef BANYANKNOT_STANDINS_LOAD_GENERATOR_H_
#define BANYANKNOT_STANDINS_LOAD_GENERATOR_H_

#include <condition_variable>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include "action_journal.h"
#include "banyanknot/transport/asio_timer_service.h"
#include "banyanknot/transport/io_threads.h"
#include "banyanknot/transport/steady_clock.h"
#include "host_balancer.h"
#include "load_settings.h"
#include "load_tally.h"

namespace banyanknot::standins {

/// \brief Offers an open loop of requests and checks every answer.
///
/// Requests become due at seeded random times, whatever came of earlier ones;
/// latency counts from that time.
class LoadGenerator {
 public:
  LoadGenerator(const LoadSettings& settings,
                const std::vector<state::Endpoint>& hosts);
  ~LoadGenerator();
  void Start();

  /// \brief Offers no more, and waits until all requests have ended.
  void Stop();

  /// \brief What came of all requests so far.
  /// \param runs actions that the stand-ins ran, by ask
  LoadReport Report(const nlohmann::json& runs) const;

  /// \brief What came of each item so far, in the order of the mix.
  std::vector<LoadReport> ReportByItem() const;

 private:
  struct Action;

  void SendNext(state::TimePoint due);
  std::size_t DrawItem();
  void SendQuery(std::size_t index, state::TimePoint due);
  void SendAction(std::size_t index, state::TimePoint due);
  void FetchTicket(const std::shared_ptr<Action>& action);
  void PostAction(const std::shared_ptr<Action>& action);
  void OnActionResult(const std::shared_ptr<Action>& action,
                      const transport::HttpCallResult& result);
  void FinishAction(const Action& action, const CheckedAnswer& checked);
  void Finish(std::size_t index, const CheckedAnswer& checked,
              state::TimePoint due);
  transport::HttpCall MakeCall(const std::string& target,
                               const nlohmann::json& body,
                               state::Duration allowed) const;

  const LoadSettings settings;
  transport::SteadyClock clock;
  std::mt19937_64 random;
  ActionJournal journal;
  std::vector<std::unique_ptr<LoadTally>> tallies;
  mutable std::mutex mutex;
  std::condition_variable ended;
  bool is_stopping = true;
  std::uint64_t in_flight = 0;
  std::uint64_t next_action = 1;
  transport::IoThreads threads;
  transport::AsioTimerService timers;
  std::shared_ptr<HostBalancer> balancer;
};

}  // namespace banyanknot::standins

#endif  // BANYANKNOT_STANDINS_LOAD_GENERATOR_H_
