#ifndef BANYANKNOT_COORDINATION_RANDOM_SOURCE_H_
#define BANYANKNOT_COORDINATION_RANDOM_SOURCE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <random>

namespace banyanknot::coordination {

/// \brief Random number source; injected so that tests are reproducible.
class RandomSource {
 public:
  virtual ~RandomSource() = default;

  /// \brief Returns a uniformly distributed number in [0, bound).
  /// \pre bound > 0
  virtual std::uint64_t Below(std::uint64_t bound) = 0;
};

/// \brief Pseudo-random numbers from generators with a given seed.
///
/// Thread-safe: several generators, each under its own lock; a thread always
/// uses one.
class SeededRandomSource : public RandomSource {
 public:
  explicit SeededRandomSource(std::uint64_t seed);
  std::uint64_t Below(std::uint64_t bound) override;

 private:
  static constexpr std::size_t kGenerators = 16;
  struct Generator {
    std::mutex mutex;
    std::mt19937_64 engine;
  };

  std::array<Generator, kGenerators> generators;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_RANDOM_SOURCE_H_
