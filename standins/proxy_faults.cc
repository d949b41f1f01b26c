#include "proxy_faults.h"

namespace banyanknot::standins {

void DomainCuts::Cut(const std::string& from, const std::string& to) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->pairs.emplace(from, to);
}

void DomainCuts::HealAll() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->pairs.clear();
}

bool DomainCuts::IsCut(const std::string& from, const std::string& to) const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->pairs.count({from, to}) > 0 ||
         this->pairs.count({from, ""}) > 0 || this->pairs.count({"", to}) > 0;
}

bool DomainCuts::IsEmpty() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->pairs.empty();
}

std::string ReplyCrosser::Cross(std::string response, std::uint64_t every) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::string earlier = std::exchange(this->previous, response);
  if (every == 0 || ++this->count % every != 0 || earlier.empty()) {
    return response;
  }
  return earlier;
}

}  // namespace banyanknot::standins
