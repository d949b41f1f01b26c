#include "catalogue_store.h"

namespace banyanknot::standins {

std::uint64_t CatalogueStore::Put(const std::string& key,
                                  const std::string& text) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->entries[key] = {key, ++this->revision, false, text};
  return this->revision;
}

std::uint64_t CatalogueStore::Delete(const std::string& key) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->entries[key] = {key, ++this->revision, true, ""};
  return this->revision;
}

coordination::RawUpdate CatalogueStore::ChangesSince(
    std::uint64_t revision) const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  coordination::RawUpdate update;
  update.revision = this->revision;
  for (const auto& [key, entry] : this->entries) {
    if (entry.revision > revision) update.entries.push_back(entry);
  }
  return update;
}

std::uint64_t CatalogueStore::Revision() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->revision;
}

}  // namespace banyanknot::standins
