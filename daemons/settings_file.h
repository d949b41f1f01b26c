#ifndef BANYANKNOT_DAEMONS_SETTINGS_FILE_H_
#define BANYANKNOT_DAEMONS_SETTINGS_FILE_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "banyanknot/coordination/entry_decoder.h"
#include "banyanknot/protocol/protocol_error.h"
#include "banyanknot/state/result.h"

namespace banyanknot::daemons {

using SettingsDocument =
    state::Result<nlohmann::json, std::vector<coordination::EntryFault>>;

/// \brief Reads a settings file and validates it against a JSON Schema.
/// \returns the document, or every fault with its JSON pointer
SettingsDocument ReadSettingsDocument(const std::string& file,
                                      const std::string& schema_text);

/// \brief Converts a decoding error to a list of one fault.
std::vector<coordination::EntryFault> ToFaultList(
    const protocol::ProtocolError& error);

}  // namespace banyanknot::daemons

#endif  // BANYANKNOT_DAEMONS_SETTINGS_FILE_H_
