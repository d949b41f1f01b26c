#ifndef BANYANKNOT_PROTOCOL_PROTOCOL_ERROR_CODE_H_
#define BANYANKNOT_PROTOCOL_PROTOCOL_ERROR_CODE_H_

#include <array>
#include <string_view>

#include "banyanknot/state/enum_names.h"

namespace banyanknot::protocol {

/// \brief Errors of the protocol layer.
enum class ProtocolErrorCode {
  kMalformed,    ///< not the format that was expected
  kWrongType,    ///< a member has another type than expected
  kMissing,      ///< a required member is not there
  kOutOfRange,   ///< a number is outside its bounds
  kTooLarge,     ///< the message exceeds its size bound
  kTooDeep,      ///< the message nests too deeply
  kUnknownName,  ///< a name that no table has
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
