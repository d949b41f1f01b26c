#ifndef BANYANKNOT_COORDINATION_CATALOGUE_SINK_H_
#define BANYANKNOT_COORDINATION_CATALOGUE_SINK_H_

#include <string>
#include <vector>

#include "banyanknot/coordination/configuration_source.h"
#include "banyanknot/state/catalogue.h"

namespace banyanknot::coordination {

/// \brief An entry that came into force and the one that it replaced.
struct CatalogueChange {
  state::CatalogueRecord replaced;  ///< revision 0 if there was none
  state::CatalogueRecord current;
};

/// \brief Receives catalogue entries from the platform and from other hosts.
///
/// Thread-safe.
class CatalogueSink {
 public:
  virtual ~CatalogueSink() = default;

  /// \brief Applies entries from `source` (`platform` or a host id).
  /// \returns the entries that came into force
  virtual std::vector<CatalogueChange> Apply(
      const std::vector<RawEntry>& entries, const std::string& source) = 0;

  /// \brief Returns whether this host refused that version of an entry.
  virtual bool WasRefused(const state::EntryVersion& version) const = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_CATALOGUE_SINK_H_
