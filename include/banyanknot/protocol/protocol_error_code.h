#ifndef BANYANKNOT_PROTOCOL_PROTOCOL_ERROR_CODE_H_
#define BANYANKNOT_PROTOCOL_PROTOCOL_ERROR_CODE_H_

#include <array>
#include <string_view>

#include "banyanknot/state/enum_names.h"

namespace banyanknot::protocol {

/// \brief Errors of the protocol layer.
enum class ProtocolErrorCode {
  kMalformed,    ///< the message or value is not in the expected format
  kWrongType,    ///< a value has the wrong type
  kMissing,      ///< a required member is missing
  kOutOfRange,   ///< a number is outside its limits
  kTooLarge,     ///< the message exceeds its maximum size
  kTooDeep,      ///< the message exceeds its maximum nesting depth
  kUnknownName,  ///< the name of a kind or enumerator is unknown
};

/// \brief Names of ProtocolErrorCode, as they stand in messages and logs.
inline constexpr std::array<state::EnumName<ProtocolErrorCode>, 7>
    kProtocolErrorCodeNames{{
        {ProtocolErrorCode::kMalformed, "malformed"},
        {ProtocolErrorCode::kWrongType, "wrong_type"},
        {ProtocolErrorCode::kMissing, "missing"},
        {ProtocolErrorCode::kOutOfRange, "out_of_range"},
        {ProtocolErrorCode::kTooLarge, "too_large"},
        {ProtocolErrorCode::kTooDeep, "too_deep"},
        {ProtocolErrorCode::kUnknownName, "unknown_name"},
    }};

/// \brief Returns the name of a ProtocolErrorCode.
constexpr std::string_view NameOf(ProtocolErrorCode value) {
  return state::FindName(kProtocolErrorCodeNames, value);
}

}  // namespace banyanknot::protocol

#endif  // BANYANKNOT_PROTOCOL_PROTOCOL_ERROR_CODE_H_
