#ifndef BANYANKNOT_STATE_ENDPOINT_H_
#define BANYANKNOT_STATE_ENDPOINT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace banyanknot::state {

/// \brief A TCP or UDP endpoint.
struct Endpoint {
  std::string address;  ///< IP address, never a host name
  std::uint16_t port = 0;

  friend bool operator==(const Endpoint& left, const Endpoint& right) {
    return left.port == right.port && left.address == right.address;
  }
  friend bool operator!=(const Endpoint& left, const Endpoint& right) {
    return !(left == right);
  }
};

/// \brief Formats an endpoint as `address:port`.
inline std::string ToText(const Endpoint& endpoint) {
  return endpoint.address + ":" + std::to_string(endpoint.port);
}

/// \brief Parses the output of ToText().
/// \returns nullopt for any other text
std::optional<Endpoint> EndpointFromText(std::string_view text);

}  // namespace banyanknot::state

#endif  // BANYANKNOT_STATE_ENDPOINT_H_
