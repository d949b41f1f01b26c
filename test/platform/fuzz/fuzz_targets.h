#ifndef BANYANKNOT_TEST_PLATFORM_FUZZ_FUZZ_TARGETS_H_
#define BANYANKNOT_TEST_PLATFORM_FUZZ_FUZZ_TARGETS_H_

#include <string>
#include <vector>

namespace banyanknot::fuzz {

/// \brief A decoder of bytes from outside, to be run on arbitrary ones.
struct FuzzTarget {
  const char* name;
  void (*run)(const std::string& bytes);
  std::vector<std::string> examples;  ///< valid input, to be mutated
};

/// \brief Returns all targets.
std::vector<FuzzTarget> AllTargets();

}  // namespace banyanknot::fuzz

#endif  // BANYANKNOT_TEST_PLATFORM_FUZZ_FUZZ_TARGETS_H_
