#ifndef BANYANKNOT_COORDINATION_CATALOGUE_UPDATER_H_
#define BANYANKNOT_COORDINATION_CATALOGUE_UPDATER_H_

#include <optional>
#include <string>
#include <vector>

#include "banyanknot/coordination/audit_sink.h"
#include "banyanknot/coordination/catalogue_sink.h"
#include "banyanknot/coordination/entry_decoder.h"
#include "banyanknot/state/catalogue_table.h"
#include "banyanknot/state/sharded_table.h"

namespace banyanknot::coordination {

/// \brief Accepts or refuses catalogue entries and audits each decision.
///
/// Thread-safe. Acceptance is a pure function of the entry alone, so that
/// every host decides alike, whichever revisions it skipped. The greatest
/// version of each entry wins, deletions included; a refused entry leaves the
/// last valid one in force and is audited once per version.
/// \sa CheckContent
class CatalogueUpdater : public CatalogueSink {
 public:
  CatalogueUpdater(state::CatalogueTable& table, const EntryDecoder& decoder,
                   AuditSink& audit);

  std::vector<CatalogueChange> Apply(const std::vector<RawEntry>& entries,
                                     const std::string& source) override;
  bool WasRefused(const state::EntryVersion& version) const override;

 private:
  std::optional<CatalogueChange> ApplyOne(const RawEntry& entry,
                                          const std::string& source);
  bool IsNewer(const state::CatalogueRecord& record) const;
  void RefuseNotNewer(const state::CatalogueRecord& record,
                      const std::string& source);
  EntryResult DecodeAndCheck(const RawEntry& entry) const;
  void Refuse(const RawEntry& entry, std::uint64_t content_hash,
              const std::string& source, const std::vector<EntryFault>& faults);
  /// \returns true unless `version` was the last one refused for its key
  bool RecordRefusal(const state::EntryVersion& version);
  void AuditAcceptance(const CatalogueChange& change,
                       const std::string& source);
  void AuditDomainState(const CatalogueChange& change,
                        const std::string& source);
  void AuditConflict(const state::CatalogueRecord& record,
                     const std::string& source, const std::string& detail);

  state::CatalogueTable& table;
  const EntryDecoder& decoder;
  AuditSink& audit;
  state::ShardedTable<std::string, state::EntryVersion> refused;  // by key
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_CATALOGUE_UPDATER_H_
