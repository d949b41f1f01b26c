#ifndef BANYANKNOT_COORDINATION_CATALOGUE_KEEPER_H_
#define BANYANKNOT_COORDINATION_CATALOGUE_KEEPER_H_

#include <cstddef>
#include <string>
#include <vector>

#include "banyanknot/coordination/audit_sink.h"
#include "banyanknot/coordination/configuration_source.h"
#include "banyanknot/coordination/entry_decoder.h"
#include "banyanknot/state/catalogue_table.h"

namespace banyanknot::coordination {

/// \brief Accepts or refuses catalogue entries, whoever sends them.
///
/// Thread-safe. Acceptance is a pure function of the entry and of the one that
/// it replaces, so that every host decides alike. The greatest revision wins,
/// entry by entry, deletions included; a refused entry leaves the last good
/// one in force.
class CatalogueKeeper {
 public:
  CatalogueKeeper(state::CatalogueTable& table, const EntryDecoder& decoder,
                  AuditSink& audit);

  /// \brief Takes entries from `source` (`platform` or a host id).
  /// \returns the entries that came into force
  std::vector<state::CatalogueRecord> Apply(
      const std::vector<RawEntry>& entries, const std::string& source);

 private:
  bool ApplyOne(const RawEntry& entry, const std::string& source,
                state::CatalogueRecord& accepted);
  void AuditRefusal(const RawEntry& entry, const std::string& source,
                    const std::vector<EntryFault>& faults);
  void AuditAcceptance(const state::CatalogueRecord& record,
                       const std::string& source);

  state::CatalogueTable& table;
  const EntryDecoder& decoder;
  AuditSink& audit;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_CATALOGUE_KEEPER_H_
