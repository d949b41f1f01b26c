#ifndef BANYANKNOT_STANDINS_READ_METER_H_
#define BANYANKNOT_STANDINS_READ_METER_H_

#include <cstdint>
#include <vector>

#include "banyanknot/state/util/time.h"

namespace banyanknot::standins {

/// \brief Counts the reads of the platform and caps them, second by second.
///
/// Not thread-safe; its owner locks.
class ReadMeter {
 public:
  /// \param reads_per_second most reads that are answered in one second
  explicit ReadMeter(std::uint64_t reads_per_second)
      : reads_per_second(reads_per_second) {}

  /// \brief Counts one read.
  /// \returns false if it exceeds the cap
  bool Count(state::TimePoint now);

  std::uint64_t Reads() const { return this->reads; }
  std::uint64_t Refused() const { return this->refused; }

  /// \brief Reads in each second since the first; the last one goes on.
  const std::vector<std::uint64_t>& BySecond() const { return this->by_second; }

 private:
  const std::uint64_t reads_per_second;
  std::uint64_t reads = 0;
  std::uint64_t refused = 0;
  state::TimePoint first;
  std::vector<std::uint64_t> by_second;
};

}  // namespace banyanknot::standins

#endif  // BANYANKNOT_STANDINS_READ_METER_H_
