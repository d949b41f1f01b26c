#include "check_command.h"

#include <algorithm>

#include "catalogue_file.h"

namespace banyanknot::ctl {
namespace {

/// Writes an entry's key as one part of a JSON pointer.
std::string ToPointerPart(const std::string& key) {
  std::string part;
  for (const char character : key) {
    if (character == '~') {
      part += "~0";
    } else if (character == '/') {
      part += "~1";
    } else {
      part += character;
    }
  }
  return part;
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
      err << file << ": /" << ToPointerPart(key) << fault.pointer << ": "
          << fault.reason << "\n";
    }
  }
  out << state::ValueOf(catalogue).size() << " entries, " << faults
      << " faults\n";
  return faults == 0 ? ExitStatus::kOk : ExitStatus::kFault;
}

}  // namespace banyanknot::ctl
