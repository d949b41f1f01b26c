#ifndef BANYANKNOT_CTL_CATALOGUE_FILE_H_
#define BANYANKNOT_CTL_CATALOGUE_FILE_H_

#include <nlohmann/json.hpp>
#include <string>

#include "banyanknot/state/result.h"

namespace banyanknot::ctl {

/// \brief Reads a catalogue kept in version control: a JSON object of entry
/// key to entry.
/// \returns the object, or why it can't be read
state::Result<nlohmann::json, std::string> ReadCatalogueFile(
    const std::string& file);

}  // namespace banyanknot::ctl

#endif  // BANYANKNOT_CTL_CATALOGUE_FILE_H_
