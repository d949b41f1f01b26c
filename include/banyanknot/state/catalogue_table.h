#ifndef BANYANKNOT_STATE_CATALOGUE_TABLE_H_
#define BANYANKNOT_STATE_CATALOGUE_TABLE_H_

#include <atomic>
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

/// \brief The catalogue in force on this host: one record per entry.
///
/// Thread-safe. The version of an entry only increases: by revision and, within
/// one revision, by content hash. Deletions remain as tombstones, so that an
/// older copy cannot restore the entry. The version in force does not depend
/// on the order of arrival.
class CatalogueTable {
 public:
  /// \brief Stores `record` if its version is greater.
  /// \returns the replaced record (revision 0 if there was none);
  ///     kStaleRevision if the table holds the same version or a newer
  ///     revision;
  ///     kConflict if it holds that revision with a greater content hash
  Result<CatalogueRecord, StateError> Put(const CatalogueRecord& record);

  std::optional<CatalogueRecord> Find(const std::string& key) const;

  /// \brief Returns the service `id`; null if none is in force.
  std::shared_ptr<const ServiceEntry> FindService(const ServiceId& id) const;

  /// \brief Returns the state of a failure domain; kIn if it has no entry.
  DomainState FindDomainState(const FailureDomainId& id) const;

  /// \brief Returns the fleet policy in force; defaults if there is none.
  FleetPolicy FindFleetPolicy() const;

  /// \brief Returns all records, tombstones included, ordered by key.
  std::vector<CatalogueRecord> All() const;

  /// \brief Returns all services in force, ordered by key.
  std::vector<std::shared_ptr<const ServiceEntry>> Services() const;

  /// \brief Returns all entry versions, tombstones included, ordered by key.
  std::vector<EntryVersion> Versions() const;

  /// \brief Returns the greatest revision of any entry; 0 for an empty table.
  std::uint64_t MaxRevision() const;

  /// \brief Returns the number of changes; a cheap way to detect one.
  std::uint64_t ChangeCount() const { return this->change_count; }

 private:
  std::shared_ptr<const CatalogueContent> FindContent(
      const std::string& key) const;

  std::atomic<std::uint64_t> change_count{0};
  ShardedTable<std::string, CatalogueRecord> records;
};

}  // namespace banyanknot::state

#endif  // BANYANKNOT_STATE_CATALOGUE_TABLE_H_
