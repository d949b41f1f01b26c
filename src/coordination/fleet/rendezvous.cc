#include "banyanknot/coordination/fleet/rendezvous.h"

#include <cstdint>
#include <string>
#include <utility>

#include "banyanknot/state/content_hash.h"

namespace banyanknot::coordination {
namespace {

std::uint64_t WeightOf(std::string_view subject, const state::HostId& host) {
  return state::ContentHash(std::string(subject) + '\n' + host.Text());
}

}  // namespace

std::size_t RendezvousRank(std::string_view subject, const state::HostId& host,
                           const std::vector<state::HostId>& hosts) {
  const std::pair<std::uint64_t, state::HostId> own(WeightOf(subject, host),
                                                    host);
  std::size_t rank = 0;
  for (const state::HostId& other : hosts) {
    const std::pair<std::uint64_t, state::HostId> weight(
        WeightOf(subject, other), other);
    if (own < weight) ++rank;
  }
  return rank;
}

}  // namespace banyanknot::coordination
