#include "banyanknot/coordination/random_source.h"

#include <functional>
#include <thread>

#include "banyanknot/state/util/assert.h"

namespace banyanknot::coordination {

SeededRandomSource::SeededRandomSource(std::uint64_t seed) {
  for (Generator& generator : this->generators) generator.engine.seed(seed++);
}

std::uint64_t SeededRandomSource::Below(std::uint64_t bound) {
  BANYANKNOT_ASSERT(bound > 0, "the bound must be at least 1");
  const std::size_t index =
      std::hash<std::thread::id>()(std::this_thread::get_id()) % kGenerators;
  Generator& generator = this->generators[index];
  const std::lock_guard<std::mutex> lock(generator.mutex);
  return std::uniform_int_distribution<std::uint64_t>(
      0, bound - 1)(generator.engine);
}

}  // namespace banyanknot::coordination
