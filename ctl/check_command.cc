#include "check_command.h"

#include <algorithm>

#include "catalogue_file.h"

namespace banyanknot::ctl {
namespace {

/// Escapes an entry key as a JSON Pointer token (RFC 6901).
std::string ToPointerToken(const std::string& key) {
  std::string token;
  for (const char character : key) {
    if (character == '~') {
      token += "~0";
    } else if (character == '/') {
      token += "~1";
    } else {
      token += character;
    }
  }
  return token;
}

}  // namespace

ExitStatus CheckCommand::Run(const std::vector<std::string>& arguments,
                             std::ostream& out, std::ostream& err) {
  if (arguments.size() != 1) {
    err << "usage: " << this->Usage() << "\n";
    return ExitStatus::kUsage;
  }
  const std::string& file = arguments[0];
  const state::Result<nlohmann::json, std::string> catalogue =
      ReadCatalogueFile(file);
  if (!state::IsOk(catalogue)) {
    err << file << ": " << state::ErrorOf(catalogue) << "\n";
    return ExitStatus::kUsage;
  }
  std::size_t faults = 0;
  for (const auto& [key, entry] : state::ValueOf(catalogue).items()) {
    const coordination::EntryResult result =
        this->decoder.Decode(key, entry.dump());
    if (state::IsOk(result)) continue;
    for (const coordination::EntryFault& fault : state::ErrorOf(result)) {
      ++faults;
      err << file << ": /" << ToPointerToken(key) << fault.pointer << ": "
          << fault.reason << "\n";
    }
  }
  out << state::ValueOf(catalogue).size() << " entries, " << faults
      << " faults\n";
  return faults == 0 ? ExitStatus::kOk : ExitStatus::kFault;
}

}  // namespace banyanknot::ctl
