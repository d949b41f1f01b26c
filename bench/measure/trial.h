#ifndef BANYANKNOT_BENCH_MEASURE_TRIAL_H_
#define BANYANKNOT_BENCH_MEASURE_TRIAL_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "load_generator.h"
#include "plan_shape.h"

namespace banyanknot::measure {

/// \brief What one run of a deployment under load gave.
struct TrialResult {
  standins::LoadReport report;
  std::vector<standins::LoadReport> by_item;
  double extra_load = 0;    ///< share of sub-requests beyond those needed
  nlohmann::json counters;  ///< of the backend stand-ins, at the end
  std::string error;
};

/// \brief A deployment under load, for one measure.
class Trial {
 public:
  Trial(const standins::PlanShape& shape, std::uint64_t rate);

  /// \brief Starts the deployment, offers load for `length`, and stops.
  /// \param during called once the load runs; null for nothing
  TrialResult Run(state::Duration length,
                  const std::function<void(Trial&)>& during);

  standins::Deployment& Fleet() { return this->deployment; }
  standins::LoadGenerator& Load() { return *this->load; }

  /// \brief Time since a stand-in of a failure domain last got a sub-request.
  double SecondsSinceWorkIn(const std::string& domain);

 private:
  /// Offers load that does not count until all of a slice is answered.
  void Settle();

  const standins::LoadSettings settings;
  standins::Deployment deployment;
  std::unique_ptr<standins::LoadGenerator> load;
};

/// \brief Folder of the built programs.
std::string ProgramFolder();

/// \brief Largest value of a counter over all stand-ins.
std::uint64_t MaxCounter(const nlohmann::json& counters, const char* counter);

/// \brief Waits; measures only, never a proof.
void Wait(state::Duration duration);

}  // namespace banyanknot::measure

#endif  // BANYANKNOT_BENCH_MEASURE_TRIAL_H_
