#ifndef BANYANKNOT_STANDINS_TEMPORARY_FOLDER_H_
#define BANYANKNOT_STANDINS_TEMPORARY_FOLDER_H_

#include <string>

namespace banyanknot::standins {

/// \brief A new folder that is removed with this object.
class TemporaryFolder {
 public:
  TemporaryFolder();
  ~TemporaryFolder();
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  const std::string& Path() const { return this->path; }

 private:
  std::string path;
};

}  // namespace banyanknot::standins

#endif  // BANYANKNOT_STANDINS_TEMPORARY_FOLDER_H_
