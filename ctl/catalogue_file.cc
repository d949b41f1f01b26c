#include "catalogue_file.h"

#include <fstream>
#include <sstream>

#include "banyanknot/protocol/json_reader.h"

namespace banyanknot::ctl {
namespace {

constexpr std::size_t kMaxCatalogueBytes = 256u << 20;

}  // namespace

state::Result<nlohmann::json, std::string> ReadCatalogueFile(
    const std::string& file) {
  std::ifstream stream(file);
  if (!stream) return std::string("can't be read");
  std::ostringstream text;
  text << stream.rdbuf();
  state::Result<nlohmann::json, protocol::ProtocolError> parsed =
      protocol::ParseJson(text.str(), kMaxCatalogueBytes);
  if (!state::IsOk(parsed)) return state::ErrorOf(parsed).reason;
  if (!state::ValueOf(parsed).is_object()) {
    return std::string("must be an object of entry key to entry");
  }
  return state::TakeValue(std::move(parsed));
}

}  // namespace banyanknot::ctl
