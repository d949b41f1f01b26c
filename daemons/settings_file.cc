#include "settings_file.h"

#include <fstream>
#include <sstream>

#include "banyanknot/protocol/json_reader.h"
#include "banyanknot/protocol/json_schema.h"

namespace banyanknot::daemons {
namespace {

constexpr std::size_t kMaxSettingsBytes = 1u << 20;

}  // namespace

std::vector<coordination::EntryFault> ToFaultList(
    const protocol::ProtocolError& error) {
  return {{error.pointer, error.reason}};
}

SettingsDocument ReadSettingsDocument(const std::string& file,
                                      const std::string& schema_text) {
  std::ifstream stream(file);
  if (!stream) {
    return std::vector<coordination::EntryFault>{{"", "can't be read"}};
  }
  std::ostringstream text;
  text << stream.rdbuf();
  const state::Result<nlohmann::json, protocol::ProtocolError> parsed =
      protocol::ParseJson(text.str(), kMaxSettingsBytes);
  if (!state::IsOk(parsed)) return ToFaultList(state::ErrorOf(parsed));
  const protocol::JsonSchema schema(schema_text);
  std::vector<coordination::EntryFault> faults =
      schema.Check(state::ValueOf(parsed));
  if (!faults.empty()) return faults;
  return state::ValueOf(parsed);
}

}  // namespace banyanknot::daemons
