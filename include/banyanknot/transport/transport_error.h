#ifndef BANYANKNOT_TRANSPORT_TRANSPORT_ERROR_H_
#define BANYANKNOT_TRANSPORT_TRANSPORT_ERROR_H_

#include <array>
#include <string_view>

#include "banyanknot/state/enum_names.h"

namespace banyanknot::transport {

/// \brief Errors of the transport layer.
enum class TransportError {
  kResolve,    ///< the address is not an IP address
  kListen,     ///< the address or port can't be listened on
  kConnect,    ///< the connection could not be established
  kLimit,      ///< the connection limit is reached
  kLost,       ///< the connection failed after the first byte
  kMisplaced,  ///< only responses to other calls came
  kTimeout,    ///< no reply in time
  kExpired,    ///< cancelled or too late before the first byte
  kTooLarge,   ///< the message exceeds its size limit
  kWithdrawn,  ///< refused before the first byte, by the call's own check or
               ///< since HTTP has no form for it
  kClosed,     ///< this process is shutting down
};

/// \brief Names of TransportError in messages and logs.
inline constexpr std::array<state::EnumName<TransportError>, 11>
    kTransportErrorNames{{
        {TransportError::kResolve, "resolve"},
        {TransportError::kListen, "listen"},
        {TransportError::kConnect, "connect"},
        {TransportError::kLimit, "limit"},
        {TransportError::kLost, "lost"},
        {TransportError::kMisplaced, "misplaced"},
        {TransportError::kTimeout, "timeout"},
        {TransportError::kExpired, "expired"},
        {TransportError::kTooLarge, "too_large"},
        {TransportError::kWithdrawn, "withdrawn"},
        {TransportError::kClosed, "closed"},
    }};

/// \brief Returns the name of a TransportError.
constexpr std::string_view NameOf(TransportError value) {
  return state::FindName(kTransportErrorNames, value);
}

}  // namespace banyanknot::transport

#endif  // BANYANKNOT_TRANSPORT_TRANSPORT_ERROR_H_
