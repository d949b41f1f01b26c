#include "banyanknot/state/endpoint.h"

#include <charconv>

namespace banyanknot::state {

std::optional<Endpoint> EndpointFromText(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) return std::nullopt;
  Endpoint endpoint;
  endpoint.address = std::string(text.substr(0, colon));
  const char* const end = text.data() + text.size();
  const std::from_chars_result parsed =
      std::from_chars(text.data() + colon + 1, end, endpoint.port);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return endpoint;
}

}  // namespace banyanknot::state
