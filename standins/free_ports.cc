#include "free_ports.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace banyanknot::standins {
namespace {

constexpr std::uint16_t kFirstPort = 23'000;
constexpr std::uint16_t kLastPort = 32'000;
constexpr int kPortsAProcess = 61;

bool IsFree(std::uint16_t port) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (descriptor < 0) return false;
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  const bool is_free =
      bind(descriptor, reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) == 0;
  close(descriptor);
  return is_free;
}

}  // namespace

FreePorts::FreePorts()
    : next(static_cast<std::uint16_t>(kFirstPort +
                                      (getpid() * kPortsAProcess) %
                                          (kLastPort - kFirstPort))) {}

std::uint16_t FreePorts::Take() {
  for (int tried = 0; tried < kLastPort - kFirstPort; ++tried) {
    if (++this->next >= kLastPort) this->next = kFirstPort;
    if (IsFree(this->next)) return this->next;
  }
  return 0;
}

}  // namespace banyanknot::standins
