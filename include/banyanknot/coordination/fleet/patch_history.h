#ifndef BANYANKNOT_COORDINATION_FLEET_PATCH_HISTORY_H_
#define BANYANKNOT_COORDINATION_FLEET_PATCH_HISTORY_H_

#include <cstddef>
#include <string>
#include <vector>

#include "banyanknot/coordination/catalogue_sink.h"
#include "banyanknot/coordination/peer_message.h"
#include "banyanknot/state/sharded_table.h"

namespace banyanknot::coordination {

/// \brief Keeps the latest patches of each entry, so that peers are sent only
/// the difference.
///
/// Thread-safe. Bounded in bytes per entry; the oldest patches are evicted.
class PatchHistory {
 public:
  void Record(const CatalogueChange& change);

  /// \brief Returns the patches from version `have` to `current`, in order.
  ///
  /// Returns one patch with the whole text if a patch in between is missing.
  std::vector<EntryPatch> PatchesTo(const state::CatalogueRecord& current,
                                    const state::EntryVersion& have) const;

 private:
  state::ShardedTable<std::string, std::vector<EntryPatch>> patches;  // by key
};

/// \brief Returns a patch with the whole text of a record.
EntryPatch WholePatch(const state::CatalogueRecord& record);

/// \brief Estimates the bytes that a patch takes in a message.
std::size_t SizeOf(const EntryPatch& patch);

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_FLEET_PATCH_HISTORY_H_
