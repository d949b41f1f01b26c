#ifndef BANYANKNOT_TEST_INTEGRATION_LOADED_DEPLOYMENT_H_
#define BANYANKNOT_TEST_INTEGRATION_LOADED_DEPLOYMENT_H_

#include <string>

#include "deployment.h"
#include "load_generator.h"
#include "plan_shape.h"
#include "support/wait_until.h"

namespace banyanknot::integration {

/// \brief A small deployment behind the fault proxy, under load.
class LoadedDeployment {
 public:
  LoadedDeployment() : LoadedDeployment(DefaultShape()) {}
  explicit LoadedDeployment(const standins::PlanShape& shape);

  /// \brief Three failure domains with a host each, and one service with
  /// queries and actions.
  static standins::PlanShape DefaultShape();

  standins::Deployment& Fleet() { return this->deployment; }
  standins::FaultProxy& Proxy() { return this->deployment.Proxy(); }

  /// \brief Waits until so many more requests were answered.
  /// \returns false if they were not within a generous bound
  bool WaitForAnswers(std::uint64_t count);

  /// \brief Stops the load.
  /// \returns its report, the actions checked against what was run
  standins::LoadReport Finish();

  /// \brief Sum of a counter over the stand-ins of a failure domain.
  std::uint64_t CounterIn(const std::string& domain, const char* counter);
  std::uint64_t CounterOf(const std::string& server, const char* counter);

 private:
  /// \brief Notes for the next failed check how the requests since `before`
  /// ended.
  void TellWhatCame(const standins::LoadReport& before);

  standins::Deployment deployment;
  standins::LoadGenerator load;
};

using testing::WaitUntil;

}  // namespace banyanknot::integration

#endif  // BANYANKNOT_TEST_INTEGRATION_LOADED_DEPLOYMENT_H_
