#ifndef BANYANKNOT_STATE_REQUEST_ID_H_
#define BANYANKNOT_STATE_REQUEST_ID_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace banyanknot::state {

/// \brief Identifies one request across the fleet.
///
/// `origin` is chosen at random by each incarnation of a host; `sequence`
/// counts that incarnation's requests.
struct RequestId {
  std::uint64_t origin = 0;
  std::uint64_t sequence = 0;

  friend bool operator==(const RequestId& left, const RequestId& right) {
    return left.origin == right.origin && left.sequence == right.sequence;
  }
  friend bool operator!=(const RequestId& left, const RequestId& right) {
    return !(left == right);
  }
};

/// \brief Formats an id as 32 hexadecimal digits.
std::string ToText(const RequestId& id);

/// \brief Parses the output of ToText().
/// \returns nullopt for any other text
std::optional<RequestId> RequestIdFromText(std::string_view text);

}  // namespace banyanknot::state

namespace std {

template <>
struct hash<banyanknot::state::RequestId> {
  size_t operator()(const banyanknot::state::RequestId& id) const {
    return static_cast<size_t>(id.origin ^
                               (id.sequence * 0x9E3779B97F4A7C15ULL));
  }
};

}  // namespace std

#endif  // BANYANKNOT_STATE_REQUEST_ID_H_
