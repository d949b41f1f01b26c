#include "banyanknot/state/request_id.h"

#include <charconv>
#include <cstdio>

namespace banyanknot::state {
namespace {

constexpr std::size_t kDigitsPerHalf = 16;
constexpr int kHexadecimal = 16;

std::optional<std::uint64_t> ParseHalf(std::string_view digits) {
  std::uint64_t value = 0;
  const std::from_chars_result parsed = std::from_chars(
      digits.data(), digits.data() + digits.size(), value, kHexadecimal);
  if (parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size()) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

std::string ToText(const RequestId& id) {
  char digits[2 * kDigitsPerHalf + 1];
  std::snprintf(digits, sizeof(digits), "%016llx%016llx",
                static_cast<unsigned long long>(id.origin),     // NOLINT
                static_cast<unsigned long long>(id.sequence));  // NOLINT
  return digits;
}

std::optional<RequestId> RequestIdFromText(std::string_view text) {
  if (text.size() != 2 * kDigitsPerHalf) return std::nullopt;
  const std::optional<std::uint64_t> origin =
      ParseHalf(text.substr(0, kDigitsPerHalf));
  const std::optional<std::uint64_t> sequence =
      ParseHalf(text.substr(kDigitsPerHalf));
  if (!origin || !sequence) return std::nullopt;
  return RequestId{*origin, *sequence};
}

}  // namespace banyanknot::state
