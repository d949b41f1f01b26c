#ifndef BANYANKNOT_COORDINATION_MEMORY_DESCRIPTOR_SHARES_H_
#define BANYANKNOT_COORDINATION_MEMORY_DESCRIPTOR_SHARES_H_

#include <cstddef>

namespace banyanknot::coordination {

/// \brief How many connections each listener may have open, so that the rest of
/// the file descriptors is left for servers, other hosts and the source.
struct DescriptorShares {
  std::size_t callers = 0;
  std::size_t hosts = 0;   ///< that ask this one
  std::size_t status = 0;  ///< at each of the listeners for operators
};

/// \brief Divides the file descriptors of a process.
/// \param limit most that may be open
DescriptorShares ShareDescriptors(std::size_t limit);

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_MEMORY_DESCRIPTOR_SHARES_H_
