#include "process_usage.h"

#include <unistd.h>

#include <fstream>
#include <iterator>
#include <sstream>
#include <string>

namespace banyanknot::standins {
namespace {

constexpr int kFieldsBeforeUserTime = 11;  ///< behind the program's name
constexpr double kBytesPerMegabyte = 1'000'000;

double ReadProcessorSeconds(const std::string& folder) {
  std::ifstream stream(folder + "/stat");
  const std::string text((std::istreambuf_iterator<char>(stream)),
                         std::istreambuf_iterator<char>());
  const std::size_t name_end = text.rfind(')');
  if (name_end == std::string::npos) return 0;
  std::istringstream fields(text.substr(name_end + 1));
  std::string skipped;
  for (int index = 0; index < kFieldsBeforeUserTime; ++index) fields >> skipped;
  double user_ticks = 0;
  double system_ticks = 0;
  fields >> user_ticks >> system_ticks;
  return (user_ticks + system_ticks) /
         static_cast<double>(sysconf(_SC_CLK_TCK));
}

double ReadResidentMegabytes(const std::string& folder) {
  std::ifstream stream(folder + "/statm");
  double total_pages = 0;
  double resident_pages = 0;
  stream >> total_pages >> resident_pages;
  return resident_pages * static_cast<double>(sysconf(_SC_PAGESIZE)) /
         kBytesPerMegabyte;
}

}  // namespace

ProcessUsage ReadProcessUsage(pid_t pid) {
  const std::string folder = "/proc/" + std::to_string(pid);
  return {ReadProcessorSeconds(folder), ReadResidentMegabytes(folder)};
}

}  // namespace banyanknot::standins
