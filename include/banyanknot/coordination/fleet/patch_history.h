#ifndef BANYANKNOT_COORDINATION_FLEET_PATCH_HISTORY_H_
#define BANYANKNOT_COORDINATION_FLEET_PATCH_HISTORY_H_

#include <cstddef>
#include <string>
#include <vector>

#include "banyanknot/coordination/catalogue_sink.h"
#include "banyanknot/coordination/peer_message.h"
#include "banyanknot/state/sharded_table.h"

namespace banyanknot::coordination {

/// \brief Keeps the latest changes of each entry, so that others are sent only
/// what changed.
///
/// Thread-safe. Bounded in bytes an entry: older changes are forgotten.
class PatchHistory {
 public:
  void Record(const CatalogueChange& change);

  /// \brief Patches that lead from version `have` to `current`, in order.
  ///
  /// One patch with the whole text where the way is not known.
  std::vector<EntryPatch> PatchesTo(const state::CatalogueRecord& current,
                                    const state::EntryVersion& have) const;

 private:
  state::ShardedTable<std::string, std::vector<EntryPatch>> patches;  // by key
};

/// \brief Makes the patch that holds the whole of a record.
EntryPatch WholePatch(const state::CatalogueRecord& record);

/// \brief About how many bytes a patch takes in a message.
std::size_t SizeOf(const EntryPatch& patch);

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_FLEET_PATCH_HISTORY_H_
