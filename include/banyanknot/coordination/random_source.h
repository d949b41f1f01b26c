#ifndef BANYANKNOT_COORDINATION_RANDOM_SOURCE_H_
#define BANYANKNOT_COORDINATION_RANDOM_SOURCE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <random>

namespace banyanknot::coordination {

/// \brief Source of random numbers; injected so that tests can repeat a run.
class RandomSource {
 public:
  virtual ~RandomSource() = default;

  /// \brief A number drawn evenly from [0, bound).
  /// \pre bound > 0
  virtual std::uint64_t Below(std::uint64_t bound) = 0;
};

/// \brief Random numbers from generators seeded with a given number.
///
/// Thread-safe: several generators, each under its own lock; a thread keeps to
/// one.
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
