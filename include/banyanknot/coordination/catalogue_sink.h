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

/// \brief Takes catalogue entries, whoever sends them.
///
/// Thread-safe.
class CatalogueSink {
 public:
  virtual ~CatalogueSink() = default;

  /// \brief Takes entries from `source` (`platform` or a host id).
  /// \returns what came into force
  virtual std::vector<CatalogueChange> Apply(
      const std::vector<RawEntry>& entries, const std::string& source) = 0;

  /// \brief Tells whether this host refused that version of an entry.
  virtual bool WasRefused(const state::EntryVersion& version) const = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_CATALOGUE_SINK_H_
