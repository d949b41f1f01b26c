#ifndef BANYANKNOT_STATE_CATALOGUE_TABLE_H_
#define BANYANKNOT_STATE_CATALOGUE_TABLE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "banyanknot/state/catalogue.h"
#include "banyanknot/state/result.h"
#include "banyanknot/state/sharded_table.h"
#include "banyanknot/state/state_error.h"

namespace banyanknot::state {

/// \brief The catalogue in force on this host: one record an entry.
///
/// Thread-safe. An entry only ever moves to a greater revision; deletions stay
/// as tombstones, so that an older copy can't bring the entry back.
class CatalogueTable {
 public:
  /// \brief Puts `record` in force if its revision is greater.
  /// \returns the record that it replaced (revision 0 if there was none);
  ///     kStaleRevision if the table holds the same or a newer revision;
  ///     kConflict if it holds that revision with another content hash
  Result<CatalogueRecord, StateError> Put(const CatalogueRecord& record);

  std::optional<CatalogueRecord> Find(const std::string& key) const;

  /// \brief The service called `id`; null if none is in force.
  std::shared_ptr<const ServiceEntry> FindService(const ServiceId& id) const;

  /// \brief The state of a failure domain; kIn if it has no entry.
  DomainState FindDomainState(const FailureDomainId& id) const;

  /// \brief The fleet policy in force; defaults if there is none.
  FleetPolicy FindFleetPolicy() const;

  /// \brief All records, tombstones too, ordered by key.
  std::vector<CatalogueRecord> All() const;

  /// \brief All services in force, ordered by key.
  std::vector<std::shared_ptr<const ServiceEntry>> Services() const;

  /// \brief Greatest revision of any entry; 0 for an empty table.
  std::uint64_t MaxRevision() const;

 private:
  std::shared_ptr<const CatalogueContent> FindContent(
      const std::string& key) const;

  ShardedTable<std::string, CatalogueRecord> records;
};

}  // namespace banyanknot::state

#endif  // BANYANKNOT_STATE_CATALOGUE_TABLE_H_
