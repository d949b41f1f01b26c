#ifndef BANYANKNOT_STATE_TICKET_H_
#define BANYANKNOT_STATE_TICKET_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "banyanknot/state/identifier.h"
#include "banyanknot/state/request_id.h"

namespace banyanknot::state {

/// \brief Permission to run one non-idempotent request at most once.
///
/// Only the incarnation that issued it may run it. \sa Action
struct Ticket {
  HostId host;              ///< the issuing host
  RequestId id;             ///< origin: chosen by the issuing incarnation
  std::uint64_t nonce = 0;  ///< random per ticket; detects forgeries

  friend bool operator==(const Ticket& left, const Ticket& right) {
    return left.host == right.host && left.id == right.id &&
           left.nonce == right.nonce;
  }
  friend bool operator!=(const Ticket& left, const Ticket& right) {
    return !(left == right);
  }
};

/// \brief Maximum length of the text of a ticket, in bytes.
inline constexpr std::size_t kMaxTicketBytes = 256;

/// \brief Formats a ticket as `HOST.ID.NONCE`, the last two in hexadecimal.
std::string ToText(const Ticket& ticket);

/// \brief Parses the output of ToText().
/// \returns nullopt for any other text
std::optional<Ticket> TicketFromText(std::string_view text);

}  // namespace banyanknot::state

#endif  // BANYANKNOT_STATE_TICKET_H_
