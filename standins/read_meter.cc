#include "read_meter.h"

#include <chrono>

namespace banyanknot::standins {

bool ReadMeter::Count(state::TimePoint now) {
  if (this->by_second.empty()) this->first = now;
  const std::int64_t second =
      std::chrono::duration_cast<std::chrono::seconds>(now - this->first)
          .count();
  this->by_second.resize(static_cast<std::size_t>(second) + 1);
  ++this->reads;
  if (++this->by_second.back() <= this->reads_per_second) return true;
  ++this->refused;
  return false;
}

}  // namespace banyanknot::standins
