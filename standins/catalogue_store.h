#ifndef BANYANKNOT_STANDINS_CATALOGUE_STORE_H_
#define BANYANKNOT_STANDINS_CATALOGUE_STORE_H_

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

#include "banyanknot/coordination/configuration_source.h"

namespace banyanknot::standins {

/// \brief The platform's copy of the catalogue, with a revision a change.
///
/// Thread-safe.
class CatalogueStore {
 public:
  /// \brief Stores a value under the next revision.
  /// \returns that revision
  std::uint64_t Put(const std::string& key, const std::string& text);
  std::uint64_t Delete(const std::string& key);

  /// \brief The entries that changed after `since`, as they stood at
  /// `as_of`.
  coordination::RawUpdate ChangesSince(std::uint64_t since,
                                       std::uint64_t as_of) const;
  std::uint64_t Revision() const;

 private:
  std::uint64_t Append(const std::string& key, bool deleted,
                       const std::string& text);

  mutable std::mutex mutex;
  std::vector<coordination::RawEntry> history;  // revision 1 comes first
};

}  // namespace banyanknot::standins

#endif  // BANYANKNOT_STANDINS_CATALOGUE_STORE_H_
