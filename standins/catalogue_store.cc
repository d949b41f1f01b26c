#include "catalogue_store.h"

#include <algorithm>
#include <map>
#include <utility>

namespace banyanknot::standins {

std::uint64_t CatalogueStore::Append(const std::string& key, bool deleted,
                                     const std::string& text) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const std::uint64_t revision = this->history.size() + 1;
  this->history.push_back({key, revision, deleted, text});
  return revision;
}

std::uint64_t CatalogueStore::Put(const std::string& key,
                                  const std::string& text) {
  return this->Append(key, false, text);
}

std::uint64_t CatalogueStore::Delete(const std::string& key) {
  return this->Append(key, true, "");
}

coordination::RawUpdate CatalogueStore::ChangesSince(
    std::uint64_t since, std::uint64_t as_of) const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  coordination::RawUpdate update;
  update.revision = std::min<std::uint64_t>(as_of, this->history.size());
  std::map<std::string, const coordination::RawEntry*> latest;
  for (std::uint64_t index = since; index < update.revision; ++index) {
    latest[this->history[index].key] = &this->history[index];
  }
  for (const auto& [key, entry] : latest) update.entries.push_back(*entry);
  return update;
}

std::uint64_t CatalogueStore::Revision() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->history.size();
}

}  // namespace banyanknot::standins
