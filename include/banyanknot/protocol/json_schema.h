#ifndef BANYANKNOT_PROTOCOL_JSON_SCHEMA_H_
#define BANYANKNOT_PROTOCOL_JSON_SCHEMA_H_

#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "banyanknot/coordination/entry_decoder.h"

namespace banyanknot::protocol {

/// \brief A compiled JSON Schema.
///
/// Thread-safe.
class JsonSchema {
 public:
  /// \param text the schema, in JSON
  /// \pre text is a valid schema
  explicit JsonSchema(const std::string& text);
  ~JsonSchema();

  /// \brief Returns all violations of the schema in `document`.
  std::vector<coordination::EntryFault> Check(
      const nlohmann::json& document) const;

 private:
  struct Impl;
  std::unique_ptr<const Impl> impl;
};

/// \brief Returns the schema of a host's settings file, as JSON text.
const std::string& HostSettingsSchemaText();

/// \brief Returns the schema of a relay host's settings file, as JSON text.
const std::string& RelaySettingsSchemaText();

/// \brief Returns the schema of a catalogue, an object of entries by key, as
/// JSON text.
const std::string& CatalogueSchemaText();

}  // namespace banyanknot::protocol

#endif  // BANYANKNOT_PROTOCOL_JSON_SCHEMA_H_
