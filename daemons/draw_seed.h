#ifndef BANYANKNOT_DAEMONS_DRAW_SEED_H_
#define BANYANKNOT_DAEMONS_DRAW_SEED_H_

#include <cstdint>
#include <random>

namespace banyanknot::daemons {

/// \brief Draws a 64-bit seed from the system's random device, so that it
/// differs between incarnations of a host.
inline std::uint64_t DrawSeed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

}  // namespace banyanknot::daemons

#endif  // BANYANKNOT_DAEMONS_DRAW_SEED_H_
