#ifndef BANYANKNOT_STANDINS_FREE_PORTS_H_
#define BANYANKNOT_STANDINS_FREE_PORTS_H_

#include <cstdint>

namespace banyanknot::standins {

/// \brief Finds ports for servers that must know them before they listen.
///
/// Takes them from below the range that the kernel gives to outgoing
/// connections, so that none is taken before its server listens.
class FreePorts {
 public:
  FreePorts();

  /// \returns a port of loopback that nothing listens on now
  std::uint16_t Take();

 private:
  std::uint16_t next = 0;
};

}  // namespace banyanknot::standins

#endif  // BANYANKNOT_STANDINS_FREE_PORTS_H_
