#ifndef BANYANKNOT_PROTOCOL_JSON_READER_H_
#define BANYANKNOT_PROTOCOL_JSON_READER_H_

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "banyanknot/protocol/protocol_error.h"
#include "banyanknot/state/result.h"
#include "banyanknot/state/util/time.h"

namespace banyanknot::protocol {

/// \brief Deepest nesting that any message may have.
inline constexpr std::size_t kMaxJsonDepth = 32;

/// \brief Parses JSON text with bounds on size and depth; never throws.
state::Result<nlohmann::json, ProtocolError> ParseJson(const std::string& text,
                                                       std::size_t max_bytes);

/// \brief Reads members of a JSON object and keeps the first error.
///
/// Getters return a default once an error is kept, so that a decoder reads all
/// members in a row and asks for the error once.
class JsonReader {
 public:
  /// \param pointer JSON pointer of `value`, for error messages
  JsonReader(const nlohmann::json& value, std::string pointer);

  std::string String(const char* member);
  std::string StringOr(const char* member, std::string fallback);
  std::uint64_t Unsigned(const char* member, std::uint64_t max);
  std::uint64_t UnsignedOr(const char* member, std::uint64_t fallback,
                           std::uint64_t max);
  double FractionOr(const char* member, double fallback);
  bool BoolOr(const char* member, bool fallback);
  state::Duration MillisecondsOr(const char* member, state::Duration fallback);
  /// \brief A member that is an array; an empty one if it is missing.
  const nlohmann::json& ArrayOrEmpty(const char* member);
  /// \brief A member of any type; null if it is missing.
  const nlohmann::json& AnyOrNull(const char* member);

  /// \brief Keeps an error at a member, unless one is kept already.
  void Fail(ProtocolErrorCode code, const std::string& member,
            const std::string& reason);
  /// \brief Takes over the error of a reader of a nested value.
  void Adopt(const JsonReader& nested);

  const std::optional<ProtocolError>& Error() const { return this->error; }
  const std::string& Pointer() const { return this->pointer; }

 private:
  const nlohmann::json* Find(const char* member);

  const nlohmann::json& value;
  const std::string pointer;
  std::optional<ProtocolError> error;
};

}  // namespace banyanknot::protocol

#endif  // BANYANKNOT_PROTOCOL_JSON_READER_H_
