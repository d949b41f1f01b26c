#ifndef BANYANKNOT_COORDINATION_CATALOGUE_RULES_H_
#define BANYANKNOT_COORDINATION_CATALOGUE_RULES_H_

#include <vector>

#include "banyanknot/coordination/entry_decoder.h"
#include "banyanknot/state/catalogue.h"

namespace banyanknot::coordination {

/// \brief Validates the content of a catalogue entry.
///
/// A pure function of the content alone: hosts that skipped different
/// revisions still decide alike.
/// \returns every fault found; none if the entry may come into force
std::vector<EntryFault> CheckContent(const state::CatalogueContent& content);

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_CATALOGUE_RULES_H_
