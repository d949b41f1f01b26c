#include "banyanknot/protocol/json_schema.h"

#include <nlohmann/json.hpp>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validator.hpp>

namespace banyanknot::protocol {
namespace {

using Adapter = valijson::adapters::NlohmannJsonAdapter;

/// Converts a context of valijson, `<root>[servers][0]`, to the JSON pointer
/// `/servers/0`.
std::string ToPointer(const std::vector<std::string>& context) {
  std::string pointer;
  for (const std::string& part : context) {
    if (part == "<root>") continue;
    pointer += "/" + part.substr(1, part.size() - 2);
  }
  return pointer;
}

/// Tells whether an error only reports that a nested value failed validation;
/// valijson reports the nested error as well.
bool IsParentError(const valijson::ValidationResults::Error& error) {
  return error.description.rfind("Failed to validate against schema associated",
                                 0) == 0;
}

}  // namespace

struct JsonSchema::Impl {
  explicit Impl(const std::string& text) {
    const nlohmann::json document = nlohmann::json::parse(text);
    valijson::SchemaParser parser;
    parser.populateSchema(Adapter(document), this->schema);
  }

  valijson::Schema schema;
};

JsonSchema::JsonSchema(const std::string& text)
    : impl(std::make_unique<const Impl>(text)) {}

JsonSchema::~JsonSchema() = default;

std::vector<coordination::EntryFault> JsonSchema::Check(
    const nlohmann::json& document) const {
  valijson::Validator validator;
  valijson::ValidationResults results;
  validator.validate(this->impl->schema, Adapter(document), &results);
  std::vector<coordination::EntryFault> faults;
  valijson::ValidationResults::Error error;
  while (results.popError(error)) {
    if (IsParentError(error)) continue;
    faults.push_back({ToPointer(error.context), error.description});
  }
  return faults;
}

}  // namespace banyanknot::protocol
