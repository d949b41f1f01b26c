#ifndef BANYANKNOT_COORDINATION_CONFIGURATION_SOURCE_H_
#define BANYANKNOT_COORDINATION_CONFIGURATION_SOURCE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "banyanknot/coordination/coordination_error.h"
#include "banyanknot/state/result.h"
#include "banyanknot/state/util/time.h"

namespace banyanknot::coordination {

/// \brief One catalogue entry as the platform or a peer sent it, unchecked.
struct RawEntry {
  std::string key;
  std::uint64_t revision = 0;
  bool deleted = false;
  std::string text;  ///< JSON; empty if deleted
};

/// \brief The entries that changed since an earlier revision.
struct RawUpdate {
  std::uint64_t revision = 0;  ///< of the platform when it was read
  std::vector<RawEntry> entries;
};

using RawUpdateResult = state::Result<RawUpdate, CoordinationError>;
using RawUpdateHandler = std::function<void(RawUpdateResult)>;

/// \brief Reads and watches the catalogue that the operators publish.
///
/// Thread-safe. It may answer with an older revision than before, or not at
/// all; callers must tolerate both.
class ConfigurationSource {
 public:
  virtual ~ConfigurationSource() = default;

  /// \brief Reads what changed after `since`; 0 reads everything.
  /// \param handler called exactly once, never inside Read()
  virtual void Read(std::uint64_t since, RawUpdateHandler handler) = 0;

  /// \brief Like Read(), but waits up to `wait` for a change.
  /// \param handler called exactly once; an update without entries means
  ///     that nothing changed
  virtual void Watch(std::uint64_t since, state::Duration wait,
                     RawUpdateHandler handler) = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_CONFIGURATION_SOURCE_H_
