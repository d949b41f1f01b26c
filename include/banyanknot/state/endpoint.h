#ifndef BANYANKNOT_STATE_ENDPOINT_H_
#define BANYANKNOT_STATE_ENDPOINT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace banyanknot::state {

/// \brief A TCP or UDP address by IP number.
struct Endpoint {
  std::string address;  ///< an IP number, never a name
  std::uint16_t port = 0;

  friend bool operator==(const Endpoint& left, const Endpoint& right) {
    return left.port == right.port && left.address == right.address;
  }
  friend bool operator!=(const Endpoint& left, const Endpoint& right) {
    return !(left == right);
  }
};

/// \brief Writes an endpoint as `address:port`.
inline std::string ToText(const Endpoint& endpoint) {
  return endpoint.address + ":" + std::to_string(endpoint.port);
}

/// \brief Reads what ToText() wrote.
/// \returns nothing if `text` is anything else
std::optional<Endpoint> EndpointFromText(std::string_view text);

}  // namespace banyanknot::state

#endif  // BANYANKNOT_STATE_ENDPOINT_H_
