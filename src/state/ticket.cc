#include "banyanknot/state/ticket.h"

#include <cstddef>

namespace banyanknot::state {
namespace {

constexpr std::size_t kIdDigits = 32;
constexpr std::size_t kNonceDigits = 16;
// Both numbers and the dots before them.
constexpr std::size_t kSuffixBytes = 1 + kIdDigits + 1 + kNonceDigits;

}  // namespace

std::string ToText(const Ticket& ticket) {
  // A nonce has the format of the second half of a request id.
  const std::string nonce = ToText(RequestId{0, ticket.nonce});
  return ticket.host.Text() + "." + ToText(ticket.id) + "." +
         nonce.substr(kIdDigits - kNonceDigits);
}

std::optional<Ticket> TicketFromText(std::string_view text) {
  if (text.size() <= kSuffixBytes || text.size() > kMaxTicketBytes) {
    return std::nullopt;
  }
  const std::size_t host_size = text.size() - kSuffixBytes;
  const std::string_view id_text = text.substr(host_size + 1, kIdDigits);
  const std::size_t nonce_dot = host_size + 1 + kIdDigits;
  if (text[host_size] != '.' || text[nonce_dot] != '.') return std::nullopt;
  const std::optional<RequestId> id = RequestIdFromText(id_text);
  const std::optional<RequestId> nonce =
      RequestIdFromText(std::string(kIdDigits - kNonceDigits, '0') +
                        std::string(text.substr(nonce_dot + 1)));
  if (!id || !nonce) return std::nullopt;
  return Ticket{HostId(std::string(text.substr(0, host_size))), *id,
                nonce->sequence};
}

}  // namespace banyanknot::state
