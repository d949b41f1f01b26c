#include "crowd_watch.h"

#include <malloc.h>

#include <algorithm>
#include <string>

namespace banyanknot::daemons {
namespace {

/// Less isn't worth a search for free pages.
constexpr std::size_t kMinReturnedBytes = 2u << 20;

}  // namespace

void CrowdWatch::Check() {
  this->peak_bytes = std::max(this->peak_bytes, this->memory.TakePeak());
  const std::size_t held = this->memory.HeldBytes();
  if (this->peak_bytes >= kMinReturnedBytes && held < this->peak_bytes / 4) {
    malloc_trim(0);
    this->peak_bytes = held;
  }
  const Counts counts = {this->memory.GaveWay(), this->memory.Refusals(),
                         this->callers.DisplacedConnections(),
                         this->callers.RefusedConnections()};
  const bool is_crowded = counts.gave_way > this->logged.gave_way ||
                          counts.refused > this->logged.refused ||
                          counts.displaced > this->logged.displaced ||
                          counts.not_admitted > this->logged.not_admitted;
  if (!is_crowded) return;
  this->log.Write(
      coordination::EventCode::kCallersGaveWay,
      {{"gave_way", std::to_string(counts.gave_way - this->logged.gave_way)},
       {"refused", std::to_string(counts.refused - this->logged.refused)},
       {"displaced", std::to_string(counts.displaced - this->logged.displaced)},
       {"not_admitted",
        std::to_string(counts.not_admitted - this->logged.not_admitted)},
       {"held_bytes", std::to_string(held)},
       {"max_bytes", std::to_string(this->memory.MaxBytes())},
       {"connections", std::to_string(this->callers.Connections())}});
  this->logged = counts;
}

}  // namespace banyanknot::daemons
