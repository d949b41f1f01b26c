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

/// \brief Maximum nesting depth of arrays and objects in any message.
inline constexpr std::size_t kMaxJsonDepth = 32;

/// \brief Parses JSON text; never throws.
/// \returns the value; kTooLarge above `max_bytes`; kTooDeep above
///     kMaxJsonDepth; kMalformed if the text is not JSON
state::Result<nlohmann::json, ProtocolError> ParseJson(const std::string& text,
                                                       std::size_t max_bytes);

/// \brief Reads members of a JSON object and keeps the first error.
///
/// After an error, getters return defaults, so that a decoder can read all
/// members and check for an error once at the end. A getter without a fallback
/// fails with kMissing if the member is absent. Not thread-safe.
class JsonReader {
 public:
  /// \param value must outlive the reader
  /// \param pointer JSON pointer to `value`, for error messages
  JsonReader(const nlohmann::json& value, std::string pointer);

  std::string String(const char* member);
  std::string StringOr(const char* member, std::string fallback);
  std::uint64_t Unsigned(const char* member, std::uint64_t max);
  std::uint64_t UnsignedOr(const char* member, std::uint64_t fallback,
                           std::uint64_t max);
  double FractionOr(const char* member, double fallback);
  bool BoolOr(const char* member, bool fallback);
  state::Duration MillisecondsOr(const char* member, state::Duration fallback);
  /// \brief Returns an array member, or an empty array if it is missing.
  const nlohmann::json& ArrayOrEmpty(const char* member);
  /// \brief Returns a member of any type, or null if it is missing.
  const nlohmann::json& AnyOrNull(const char* member);

  /// \brief Records an error at `member`, unless there is one already.
  void Fail(ProtocolErrorCode code, const std::string& member,
            const std::string& reason);
  /// \brief Copies the error of a reader of a nested value, unless there is one
  /// already.
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
