#ifndef BANYANKNOT_STANDINS_CATALOGUE_STORE_H_
#define BANYANKNOT_STANDINS_CATALOGUE_STORE_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "banyanknot/coordination/configuration_source.h"

namespace banyanknot::standins {

/// \brief The platform's copy of the catalogue, with a revision a change.
class CatalogueStore {
 public:
  /// \brief Stores a value under the next revision.
  /// \returns that revision
  std::uint64_t Put(const std::string& key, const std::string& text);
  std::uint64_t Delete(const std::string& key);
  coordination::RawUpdate ChangesSince(std::uint64_t revision) const;
  std::uint64_t Revision() const;

 private:
  mutable std::mutex mutex;
  std::uint64_t revision = 0;
  std::map<std::string, coordination::RawEntry> entries;
};

}  // namespace banyanknot::standins

#endif  // BANYANKNOT_STANDINS_CATALOGUE_STORE_H_
