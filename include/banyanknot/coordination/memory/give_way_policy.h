#ifndef BANYANKNOT_COORDINATION_MEMORY_GIVE_WAY_POLICY_H_
#define BANYANKNOT_COORDINATION_MEMORY_GIVE_WAY_POLICY_H_

#include <vector>

#include "banyanknot/coordination/memory/memory_holder.h"

namespace banyanknot::coordination {

/// \brief Decides which callers give way when memory runs short.
///
/// Load: crowds of callers that send bodies almost to their end and stay, or
/// that take no answers. Stateless and thread-safe.
class GiveWayPolicy {
 public:
  virtual ~GiveWayPolicy() = default;
  /// \param bytes that must be freed
  /// \returns the holders that give way, as far as there are any
  virtual std::vector<MemoryHolderId> Choose(std::vector<MemoryHolder> holders,
                                             std::size_t bytes,
                                             state::TimePoint now) const = 0;
};

/// \brief Lets those give way that hold most for longest without progress;
/// small ones only once nothing else is left.
class StalledFirstPolicy : public GiveWayPolicy {
 public:
  /// A request with a head of usual size and a short body.
  static constexpr std::size_t kSmallBytes = 32u << 10;

  std::vector<MemoryHolderId> Choose(std::vector<MemoryHolder> holders,
                                     std::size_t bytes,
                                     state::TimePoint now) const override;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_MEMORY_GIVE_WAY_POLICY_H_
