#include "endpoint_list.h"

#include <charconv>
#include <sstream>

namespace banyanknot::ctl {
namespace {

std::optional<state::Endpoint> ParseEndpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) return std::nullopt;
  state::Endpoint endpoint;
  endpoint.address = text.substr(0, colon);
  const char* const end = text.data() + text.size();
  const std::from_chars_result parsed =
      std::from_chars(text.data() + colon + 1, end, endpoint.port);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return endpoint;
}

}  // namespace

std::optional<std::vector<state::Endpoint>> ParseEndpoints(
    const std::string& text) {
  std::vector<state::Endpoint> endpoints;
  std::istringstream stream(text);
  for (std::string part; std::getline(stream, part, ',');) {
    const std::optional<state::Endpoint> endpoint = ParseEndpoint(part);
    if (!endpoint) return std::nullopt;
    endpoints.push_back(*endpoint);
  }
  if (endpoints.empty()) return std::nullopt;
  return endpoints;
}

}  // namespace banyanknot::ctl
