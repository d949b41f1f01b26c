#ifndef BANYANKNOT_DAEMONS_DRAW_SEED_H_
#define BANYANKNOT_DAEMONS_DRAW_SEED_H_

#include <cstdint>
#include <random>

namespace banyanknot::daemons {

/// \brief Draws 64 bits that differ between incarnations of a host.
inline std::uint64_t DrawSeed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

}  // namespace banyanknot::daemons

#endif  // BANYANKNOT_DAEMONS_DRAW_SEED_H_
