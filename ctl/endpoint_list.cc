#include "endpoint_list.h"

#include <sstream>

namespace banyanknot::ctl {
std::optional<std::vector<state::Endpoint>> ParseEndpoints(
    const std::string& text) {
  std::vector<state::Endpoint> endpoints;
  std::istringstream stream(text);
  for (std::string part; std::getline(stream, part, ',');) {
    const std::optional<state::Endpoint> endpoint =
        state::EndpointFromText(part);
    if (!endpoint) return std::nullopt;
    endpoints.push_back(*endpoint);
  }
  if (endpoints.empty()) return std::nullopt;
  return endpoints;
}

}  // namespace banyanknot::ctl
