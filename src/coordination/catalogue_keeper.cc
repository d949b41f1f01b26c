#include "banyanknot/coordination/catalogue_keeper.h"

#include <xxhash.h>

#include <memory>
#include <utility>

namespace banyanknot::coordination {
namespace {

std::uint64_t HashOf(const std::string& text) {
  return XXH3_64bits(text.data(), text.size());
}

std::string OwnerOf(const state::CatalogueRecord& record) {
  if (record.IsTombstone()) return "";
  return std::visit([](const auto& content) { return content.owner; },
                    *record.content);
}

}  // namespace

CatalogueKeeper::CatalogueKeeper(state::CatalogueTable& table,
                                 const EntryDecoder& decoder, AuditSink& audit)
    : table(table), decoder(decoder), audit(audit) {}

std::vector<state::CatalogueRecord> CatalogueKeeper::Apply(
    const std::vector<RawEntry>& entries, const std::string& source) {
  std::vector<state::CatalogueRecord> accepted;
  for (const RawEntry& entry : entries) {
    state::CatalogueRecord record;
    if (this->ApplyOne(entry, source, record)) {
      accepted.push_back(std::move(record));
    }
  }
  return accepted;
}

bool CatalogueKeeper::ApplyOne(const RawEntry& entry, const std::string& source,
                               state::CatalogueRecord& accepted) {
  accepted.key = entry.key;
  accepted.revision = entry.revision;
  accepted.text = std::make_shared<const std::string>(entry.text);
  accepted.content_hash = entry.deleted ? 0 : HashOf(entry.text);
  if (!entry.deleted) {
    EntryResult decoded = this->decoder.Decode(entry.key, entry.text);
    if (!state::IsOk(decoded)) {
      this->AuditRefusal(entry, source, state::ErrorOf(decoded));
      return false;
    }
    accepted.content = std::make_shared<const state::CatalogueContent>(
        state::TakeValue(std::move(decoded)));
  }
  const state::Result<state::CatalogueRecord, state::StateError> replaced =
      this->table.Put(accepted);
  if (state::IsOk(replaced)) {
    this->AuditAcceptance(accepted, source);
    return true;
  }
  if (state::ErrorOf(replaced) == state::StateError::kConflict) {
    this->audit.Append({AuditKind::kEntryConflict, entry.key, entry.revision,
                        OwnerOf(accepted), accepted.content_hash, source,
                        "other content under a revision already in force"});
  }
  return false;
}

void CatalogueKeeper::AuditRefusal(const RawEntry& entry,
                                   const std::string& source,
                                   const std::vector<EntryFault>& faults) {
  std::string detail;
  for (const EntryFault& fault : faults) {
    if (!detail.empty()) detail += "; ";
    detail += fault.pointer + " " + fault.reason;
  }
  this->audit.Append({AuditKind::kEntryRefused, entry.key, entry.revision, "",
                      HashOf(entry.text), source, detail});
}

void CatalogueKeeper::AuditAcceptance(const state::CatalogueRecord& record,
                                      const std::string& source) {
  const AuditKind kind = record.IsTombstone() ? AuditKind::kEntryDeleted
                                              : AuditKind::kEntryAccepted;
  this->audit.Append({kind, record.key, record.revision, OwnerOf(record),
                      record.content_hash, source, "in force"});
}

}  // namespace banyanknot::coordination
