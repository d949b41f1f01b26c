#include "source_locator.h"

#include "banyanknot/state/util/assert.h"

namespace banyanknot::standins {
namespace {

const char* const kNetwork = "127.0.1.";
constexpr std::size_t kMaxDomains = 254;  // hosts of a network of 256

}  // namespace

std::string AddressSourceLocator::AddressOf(const std::string& domain) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto found = this->addresses.find(domain);
  if (found != this->addresses.end()) return found->second;
  BANYANKNOT_ASSERT(this->addresses.size() < kMaxDomains,
                    "the network has no address for another failure domain");
  std::string address = kNetwork + std::to_string(this->addresses.size() + 1);
  this->addresses.emplace(domain, address);
  return address;
}

std::string AddressSourceLocator::DomainOf(const std::string& address) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  for (const auto& [domain, its_address] : this->addresses) {
    if (its_address == address) return domain;
  }
  return "";
}

}  // namespace banyanknot::standins
