#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <string>

#include "platform/fuzz/fuzz_targets.h"

// Entry points of libFuzzer. The environment variable BANYANKNOT_FUZZ_TARGET
// names the target.
namespace {

const banyanknot::fuzz::FuzzTarget& SelectedTarget() {
  static const std::vector<banyanknot::fuzz::FuzzTarget>* const kTargets =
      new std::vector<banyanknot::fuzz::FuzzTarget>(
          banyanknot::fuzz::AllTargets());
  const char* const name = std::getenv("BANYANKNOT_FUZZ_TARGET");
  for (const banyanknot::fuzz::FuzzTarget& target : *kTargets) {
    if (name != nullptr && std::strcmp(name, target.name) == 0) return target;
  }
  std::fprintf(stderr, "set BANYANKNOT_FUZZ_TARGET to one of:\n");
  for (const banyanknot::fuzz::FuzzTarget& target : *kTargets) {
    std::fprintf(stderr, "  %s\n", target.name);
  }
  std::exit(2);
}

}  // namespace

// The names are libFuzzer's.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  static const banyanknot::fuzz::FuzzTarget& target = SelectedTarget();
  target.run(std::string(reinterpret_cast<const char*>(data), size));
  return 0;
}
