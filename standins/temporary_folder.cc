#include "temporary_folder.h"

#include <cstdlib>
#include <filesystem>
#include <system_error>

namespace banyanknot::standins {

TemporaryFolder::TemporaryFolder() {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "banyanknot-XXXXXX").string();
  if (mkdtemp(pattern.data()) != nullptr) this->path = pattern;
}

TemporaryFolder::~TemporaryFolder() {
  std::error_code ignored;
  if (!this->path.empty()) std::filesystem::remove_all(this->path, ignored);
}

}  // namespace banyanknot::standins
