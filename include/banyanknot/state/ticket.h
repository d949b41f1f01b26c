#ifndef BANYANKNOT_STATE_TICKET_H_
#define BANYANKNOT_STATE_TICKET_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "banyanknot/state/identifier.h"
#include "banyanknot/state/request_id.h"

namespace banyanknot::state {

/// \brief Leave to run one request that may not be repeated, at most once.
///
/// Only the incarnation that issued it may run it. \sa Action
struct Ticket {
  HostId host;              ///< the issuing host
  RequestId id;             ///< origin: drawn by the issuing incarnation
  std::uint64_t nonce = 0;  ///< drawn for each ticket; tells a forged one

  friend bool operator==(const Ticket& left, const Ticket& right) {
    return left.host == right.host && left.id == right.id &&
           left.nonce == right.nonce;
  }
  friend bool operator!=(const Ticket& left, const Ticket& right) {
    return !(left == right);
  }
};

/// \brief Longest text of a ticket that is read, in bytes.
inline constexpr std::size_t kMaxTicketBytes = 256;

/// \brief Writes a ticket as `HOST.ID.NONCE`, the last two in hexadecimal.
std::string ToText(const Ticket& ticket);

/// \brief Reads what ToText() wrote.
/// \returns nothing if `text` is anything else
std::optional<Ticket> TicketFromText(std::string_view text);

}  // namespace banyanknot::state

#endif  // BANYANKNOT_STATE_TICKET_H_
