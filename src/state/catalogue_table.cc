#include "banyanknot/state/catalogue_table.h"

#include <algorithm>
#include <utility>

namespace banyanknot::state {

Result<CatalogueRecord, StateError> CatalogueTable::Put(
    const CatalogueRecord& record) {
  using PutResult = Result<CatalogueRecord, StateError>;
  return this->records.Update(
      record.key, [this, &record](CatalogueRecord& current) -> PutResult {
        if (record.revision < current.revision) {
          return StateError::kStaleRevision;
        }
        if (record.revision == current.revision &&
            record.content_hash <= current.content_hash) {
          return record.content_hash == current.content_hash
                     ? StateError::kStaleRevision
                     : StateError::kConflict;
        }
        ++this->change_count;
        return std::exchange(current, record);
      });
}

std::optional<CatalogueRecord> CatalogueTable::Find(
    const std::string& key) const {
  return this->records.Find(key);
}

std::shared_ptr<const CatalogueContent> CatalogueTable::FindContent(
    const std::string& key) const {
  std::shared_ptr<const CatalogueContent> content;
  this->records.ReadIfPresent(key, [&content](const CatalogueRecord& record) {
    content = record.content;
  });
  return content;
}

std::shared_ptr<const ServiceEntry> CatalogueTable::FindService(
    const ServiceId& id) const {
  const std::shared_ptr<const CatalogueContent> content =
      this->FindContent("service/" + id.Text());
  const ServiceEntry* service = std::get_if<ServiceEntry>(content.get());
  if (service == nullptr) return nullptr;
  return {content, service};
}

DomainState CatalogueTable::FindDomainState(const FailureDomainId& id) const {
  const std::shared_ptr<const CatalogueContent> content =
      this->FindContent("domain/" + id.Text());
  const FailureDomainEntry* domain =
      std::get_if<FailureDomainEntry>(content.get());
  return domain == nullptr ? DomainState::kIn : domain->domain_state;
}

FleetPolicy CatalogueTable::FindFleetPolicy() const {
  const std::shared_ptr<const CatalogueContent> content =
      this->FindContent("fleet");
  const FleetPolicy* policy = std::get_if<FleetPolicy>(content.get());
  return policy == nullptr ? FleetPolicy() : *policy;
}

std::vector<CatalogueRecord> CatalogueTable::All() const {
  std::vector<CatalogueRecord> all;
  this->records.ForEach(
      [&all](const std::string& /*key*/, const CatalogueRecord& record) {
        if (record.revision > 0) all.push_back(record);
      });
  std::sort(all.begin(), all.end(),
            [](const CatalogueRecord& left, const CatalogueRecord& right) {
              return left.key < right.key;
            });
  return all;
}

std::vector<std::shared_ptr<const ServiceEntry>> CatalogueTable::Services()
    const {
  std::vector<std::shared_ptr<const ServiceEntry>> services;
  for (const CatalogueRecord& record : this->All()) {
    if (record.IsTombstone()) continue;
    const ServiceEntry* service =
        std::get_if<ServiceEntry>(record.content.get());
    if (service != nullptr) services.emplace_back(record.content, service);
  }
  return services;
}

std::vector<EntryVersion> CatalogueTable::Versions() const {
  std::vector<EntryVersion> versions;
  this->records.ForEach(
      [&versions](const std::string& key, const CatalogueRecord& record) {
        if (record.revision == 0) return;
        versions.push_back({key, record.revision, record.content_hash});
      });
  std::sort(versions.begin(), versions.end(),
            [](const EntryVersion& left, const EntryVersion& right) {
              return left.key < right.key;
            });
  return versions;
}

std::uint64_t CatalogueTable::MaxRevision() const {
  std::uint64_t revision = 0;
  this->records.ForEach(
      [&revision](const std::string& /*key*/, const CatalogueRecord& record) {
        revision = std::max(revision, record.revision);
      });
  return revision;
}

}  // namespace banyanknot::state
