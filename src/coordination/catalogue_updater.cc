#include "banyanknot/coordination/catalogue_updater.h"

#include <memory>
#include <utility>

#include "banyanknot/coordination/catalogue_rules.h"
#include "banyanknot/state/content_hash.h"

namespace banyanknot::coordination {
namespace {

std::string OwnerOf(const state::CatalogueRecord& record) {
  if (record.IsTombstone()) return "";
  return std::visit([](const auto& content) { return content.owner; },
                    *record.content);
}

/// Returns the state that `record` declares for its failure domain; kIn if it
/// declares none.
state::DomainState DomainStateOf(const state::CatalogueRecord& record) {
  if (record.IsTombstone()) return state::DomainState::kIn;
  const state::FailureDomainEntry* domain =
      std::get_if<state::FailureDomainEntry>(record.content.get());
  return domain == nullptr ? state::DomainState::kIn : domain->domain_state;
}

std::string Describe(const std::vector<EntryFault>& faults) {
  std::string detail;
  for (const EntryFault& fault : faults) {
    if (!detail.empty()) detail += "; ";
    detail += fault.pointer + " " + fault.reason;
  }
  return detail;
}

}  // namespace

CatalogueUpdater::CatalogueUpdater(state::CatalogueTable& table,
                                   const EntryDecoder& decoder,
                                   AuditSink& audit)
    : table(table), decoder(decoder), audit(audit) {}

std::vector<CatalogueChange> CatalogueUpdater::Apply(
    const std::vector<RawEntry>& entries, const std::string& source) {
  std::vector<CatalogueChange> changes;
  for (const RawEntry& entry : entries) {
    std::optional<CatalogueChange> change = this->ApplyOne(entry, source);
    if (change) changes.push_back(std::move(*change));
  }
  return changes;
}

EntryResult CatalogueUpdater::DecodeAndCheck(const RawEntry& entry) const {
  EntryResult decoded = this->decoder.Decode(entry.key, entry.text);
  if (!state::IsOk(decoded)) return decoded;
  std::vector<EntryFault> faults = CheckContent(state::ValueOf(decoded));
  if (!faults.empty()) return faults;
  return decoded;
}

std::optional<CatalogueChange> CatalogueUpdater::ApplyOne(
    const RawEntry& entry, const std::string& source) {
  CatalogueChange change;
  state::CatalogueRecord& current = change.current;
  current.key = entry.key;
  current.revision = entry.revision;
  current.text = std::make_shared<const std::string>(entry.text);
  current.content_hash = entry.deleted ? 0 : state::ContentHash(entry.text);
  if (!this->IsNewer(current)) {
    this->RefuseNotNewer(current, source);
    return std::nullopt;
  }
  if (!entry.deleted) {
    EntryResult decoded = this->DecodeAndCheck(entry);
    if (!state::IsOk(decoded)) {
      this->Refuse(entry, current.content_hash, source,
                   state::ErrorOf(decoded));
      return std::nullopt;
    }
    current.content = std::make_shared<const state::CatalogueContent>(
        state::TakeValue(std::move(decoded)));
  }
  state::Result<state::CatalogueRecord, state::StateError> replaced =
      this->table.Put(current);
  if (!state::IsOk(replaced)) return std::nullopt;
  change.replaced = state::TakeValue(std::move(replaced));
  this->AuditAcceptance(change, source);
  return change;
}

bool CatalogueUpdater::IsNewer(const state::CatalogueRecord& record) const {
  const std::optional<state::CatalogueRecord> current =
      this->table.Find(record.key);
  if (!current) return true;
  return record.revision > current->revision ||
         (record.revision == current->revision &&
          record.content_hash > current->content_hash);
}

void CatalogueUpdater::RefuseNotNewer(const state::CatalogueRecord& record,
                                      const std::string& source) {
  const std::optional<state::CatalogueRecord> current =
      this->table.Find(record.key);
  if (!current || current->revision != record.revision ||
      current->content_hash == record.content_hash) {
    return;
  }
  if (this->RecordRefusal({record.key, record.revision, record.content_hash})) {
    this->AuditConflict(record, source, "refused: the version in force stays");
  }
}

bool CatalogueUpdater::RecordRefusal(const state::EntryVersion& version) {
  return this->refused.Update(
      version.key, [&version](state::EntryVersion& last) {
        const bool is_first = last.revision != version.revision ||
                              last.content_hash != version.content_hash;
        last = version;
        return is_first;
      });
}

bool CatalogueUpdater::WasRefused(const state::EntryVersion& version) const {
  const std::optional<state::EntryVersion> last =
      this->refused.Find(version.key);
  return last && last->revision == version.revision &&
         last->content_hash == version.content_hash;
}

void CatalogueUpdater::Refuse(const RawEntry& entry, std::uint64_t content_hash,
                              const std::string& source,
                              const std::vector<EntryFault>& faults) {
  if (!this->RecordRefusal({entry.key, entry.revision, content_hash})) return;
  this->audit.Append({AuditKind::kEntryRefused, entry.key, entry.revision, "",
                      content_hash, source, Describe(faults)});
}

void CatalogueUpdater::AuditAcceptance(const CatalogueChange& change,
                                       const std::string& source) {
  const state::CatalogueRecord& current = change.current;
  if (change.replaced.revision == current.revision) {
    this->AuditConflict(current, source, "in force: greater content hash");
  }
  const AuditKind kind = current.IsTombstone() ? AuditKind::kEntryDeleted
                                               : AuditKind::kEntryAccepted;
  this->audit.Append({kind, current.key, current.revision, OwnerOf(current),
                      current.content_hash, source, "in force"});
  this->AuditDomainState(change, source);
}

void CatalogueUpdater::AuditDomainState(const CatalogueChange& change,
                                        const std::string& source) {
  const state::DomainState before = DomainStateOf(change.replaced);
  const state::DomainState after = DomainStateOf(change.current);
  if (before == after) return;
  this->audit.Append(
      {AuditKind::kDomainState, change.current.key, change.current.revision,
       OwnerOf(change.current), change.current.content_hash, source,
       std::string(NameOf(before)) + " to " + std::string(NameOf(after))});
}

void CatalogueUpdater::AuditConflict(const state::CatalogueRecord& record,
                                     const std::string& source,
                                     const std::string& detail) {
  this->audit.Append({AuditKind::kEntryConflict, record.key, record.revision,
                      OwnerOf(record), record.content_hash, source,
                      "different contents for one revision; " + detail});
}

}  // namespace banyanknot::coordination
