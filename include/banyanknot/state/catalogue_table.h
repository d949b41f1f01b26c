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

/// \brief The catalogue in force on this host: one record an entry.
///
/// Thread-safe. An entry only ever moves to a greater version, that is, to a
/// greater revision or, within one revision, to a greater content hash;
/// deletions stay as tombstones, so that an older copy can't bring the entry
/// back. The order does not depend on which version arrived first.
class CatalogueTable {
 public:
  /// \brief Puts `record` in force if its version is greater.
  /// \returns the record that it replaced (revision 0 if there was none);
  ///     kStaleRevision if the table holds the same version or a newer
  ///     revision;
  ///     kConflict if it holds that revision with a greater content hash
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

  /// \brief The versions of all entries, tombstones too, ordered by key.
  std::vector<EntryVersion> Versions() const;

  /// \brief Greatest revision of any entry; 0 for an empty table.
  std::uint64_t MaxRevision() const;

  /// \brief Grows with each record put in force; tells cheaply of a change.
  std::uint64_t ChangeCount() const { return this->change_count; }

 private:
  std::shared_ptr<const CatalogueContent> FindContent(
      const std::string& key) const;

  std::atomic<std::uint64_t> change_count{0};
  ShardedTable<std::string, CatalogueRecord> records;
};

}  // namespace banyanknot::state

#endif  // BANYANKNOT_STATE_CATALOGUE_TABLE_H_
