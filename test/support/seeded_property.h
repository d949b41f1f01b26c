#ifndef BANYANKNOT_TEST_SUPPORT_SEEDED_PROPERTY_H_
#define BANYANKNOT_TEST_SUPPORT_SEEDED_PROPERTY_H_

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <cstdint>
#include <cstdlib>
#include <sstream>

namespace banyanknot::testing {

/// \brief Checks a property on random cases that are the same in every run.
///
/// BANYANKNOT_SEQUENCES and BANYANKNOT_SEED in the environment replace the
/// number of cases and their seed.
template <typename Property>
void CheckSeeded(std::uint64_t seed, int cases, const Property& property) {
  rc::detail::TestParams params;
  params.seed = seed;
  params.maxSuccess = cases;
  const char* const wished_cases = std::getenv("BANYANKNOT_SEQUENCES");
  if (wished_cases != nullptr) params.maxSuccess = std::atoi(wished_cases);
  const char* const wished_seed = std::getenv("BANYANKNOT_SEED");
  if (wished_seed != nullptr) {
    params.seed = std::strtoull(wished_seed, nullptr, 10);
  }
  const rc::detail::TestResult result =
      rc::detail::checkTestable(property, rc::detail::TestMetadata(), params);
  std::ostringstream report;
  rc::detail::printResultMessage(result, report);
  INFO(report.str());
  CHECK(result.template is<rc::detail::SuccessResult>());
}

}  // namespace banyanknot::testing

#endif  // BANYANKNOT_TEST_SUPPORT_SEEDED_PROPERTY_H_
