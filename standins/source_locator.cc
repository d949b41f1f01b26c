#include "source_locator.h"

#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <system_error>

namespace banyanknot::standins {
namespace {

constexpr int kHexadecimal = 16;

std::uint16_t PortIn(const std::string& hexadecimal_address) {
  const std::size_t colon = hexadecimal_address.find(':');
  if (colon == std::string::npos) return 0;
  return static_cast<std::uint16_t>(
      std::stoul(hexadecimal_address.substr(colon + 1), nullptr, kHexadecimal));
}

/// The names of the sockets whose local port is `port`, as links name them.
std::set<std::string> SocketsOn(std::uint16_t port) {
  std::set<std::string> sockets;
  std::ifstream table("/proc/net/tcp");
  std::string line;
  std::getline(table, line);
  while (std::getline(table, line)) {
    std::istringstream fields(line);
    std::string number;
    std::string local;
    std::string skipped;
    std::string inode;
    fields >> number >> local;
    if (PortIn(local) != port) continue;
    for (int field = 0; field < 7; ++field) fields >> skipped;
    fields >> inode;
    sockets.insert("socket:[" + inode + "]");
  }
  return sockets;
}

bool Holds(pid_t pid, const std::set<std::string>& sockets) {
  std::error_code error;
  const std::filesystem::path folder = "/proc/" + std::to_string(pid) + "/fd";
  for (const std::filesystem::directory_entry& entry :
       std::filesystem::directory_iterator(folder, error)) {
    const std::filesystem::path link =
        std::filesystem::read_symlink(entry.path(), error);
    if (!error && sockets.count(link.string()) > 0) return true;
  }
  return false;
}

}  // namespace

void ProcessSourceLocator::SetProcess(pid_t pid, const std::string& domain) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->domains[pid] = domain;
}

std::string ProcessSourceLocator::DomainOf(std::uint16_t port) {
  std::map<pid_t, std::string> known;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    known = this->domains;
  }
  const std::set<std::string> sockets = SocketsOn(port);
  for (const auto& [pid, domain] : known) {
    if (Holds(pid, sockets)) return domain;
  }
  return "";
}

}  // namespace banyanknot::standins
