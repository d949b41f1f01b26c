#include "diff_command.h"

#include "catalogue_file.h"

namespace banyanknot::ctl {
namespace {

using nlohmann::json;

/// Prints the keys of `entries` that `other` lacks, prefixed with `mark`.
/// \returns their number
std::size_t ListOnlyIn(const json& entries, const json& other, char mark,
                       std::ostream& out) {
  std::size_t count = 0;
  for (const auto& [key, entry] : entries.items()) {
    if (other.contains(key)) continue;
    out << mark << " " << key << "\n";
    ++count;
  }
  return count;
}

std::size_t ListChanged(const json& before, const json& after,
                        std::ostream& out) {
  std::size_t count = 0;
  for (const auto& [key, entry] : before.items()) {
    if (!after.contains(key) || after.at(key) == entry) continue;
    out << "~ " << key << "\n";
    for (const json& change : json::diff(entry, after.at(key))) {
      out << "    " << change.dump() << "\n";
    }
    ++count;
  }
  return count;
}

}  // namespace

ExitStatus DiffCommand::Run(const std::vector<std::string>& arguments,
                            std::ostream& out, std::ostream& err) {
  if (arguments.size() != 2) {
    err << "usage: " << this->Usage() << "\n";
    return ExitStatus::kUsage;
  }
  std::vector<json> catalogues;
  for (const std::string& file : arguments) {
    const state::Result<json, std::string> catalogue = ReadCatalogueFile(file);
    if (!state::IsOk(catalogue)) {
      err << file << ": " << state::ErrorOf(catalogue) << "\n";
      return ExitStatus::kUsage;
    }
    catalogues.push_back(state::ValueOf(catalogue));
  }
  const std::size_t changes =
      ListOnlyIn(catalogues[0], catalogues[1], '-', out) +
      ListOnlyIn(catalogues[1], catalogues[0], '+', out) +
      ListChanged(catalogues[0], catalogues[1], out);
  return changes == 0 ? ExitStatus::kOk : ExitStatus::kFault;
}

}  // namespace banyanknot::ctl
