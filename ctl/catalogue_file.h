#ifndef BANYANKNOT_CTL_CATALOGUE_FILE_H_
#define BANYANKNOT_CTL_CATALOGUE_FILE_H_

#include <nlohmann/json.hpp>
#include <string>

#include "banyanknot/state/result.h"

namespace banyanknot::ctl {

/// \brief Reads a catalogue file, as kept in version control: a JSON object
/// that maps entry keys to entries.
/// \returns the object, or the reason why the file is invalid
state::Result<nlohmann::json, std::string> ReadCatalogueFile(
    const std::string& file);

}  // namespace banyanknot::ctl

#endif  // BANYANKNOT_CTL_CATALOGUE_FILE_H_
