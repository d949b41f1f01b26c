#ifndef BANYANKNOT_COORDINATION_QUOTA_QUOTA_LINK_H_
#define BANYANKNOT_COORDINATION_QUOTA_QUOTA_LINK_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>

#include "banyanknot/coordination/quota/asker_census.h"
#include "banyanknot/state/endpoint.h"
#include "banyanknot/state/enum_names.h"
#include "banyanknot/state/identifier.h"
#include "banyanknot/state/routing/workspace.h"
#include "banyanknot/state/util/time.h"

namespace banyanknot::coordination {

/// \brief What one host asks another's accounts for.
enum class CreditAction {
  kTake,    ///< for requests, by a host of the same failure domain
  kBorrow,  ///< for the accounts of another failure domain
};

/// \brief Names of CreditAction as they stand in messages.
inline constexpr std::array<state::EnumName<CreditAction>, 2>
    kCreditActionNames{{
        {CreditAction::kTake, "take"},
        {CreditAction::kBorrow, "borrow"},
    }};

/// \brief Returns the name of a CreditAction.
constexpr std::string_view NameOf(CreditAction value) {
  return state::FindName(kCreditActionNames, value);
}

/// \brief A request for credit of one workspace. Without a workspace, a host
/// only tells that it keeps asking here.
struct CreditRequest {
  CreditAction action = CreditAction::kTake;
  state::HostId host;  ///< that asks
  state::WorkspaceId workspace;
  state::Quota quota;  ///< that the asking host knows
  std::uint64_t routes_version = 0;
  unsigned count = 0;      ///< requests that wait for it
  KnownHosts known_hosts;  ///< of the asking host's failure domain
};

/// \brief The answer to a CreditRequest.
struct CreditGrant {
  unsigned granted = 0;
  state::Duration retry_after{0};  ///< for those not granted
  KnownHosts known_hosts;          ///< of the granting host's failure domain
};

/// \brief Gets the grant; nothing if the other host did not reply.
using CreditHandler = std::function<void(const std::optional<CreditGrant>&)>;

/// \brief Asks other hosts for credit.
///
/// Thread-safe. Handlers run on any thread, exactly once, never inside the
/// call.
class QuotaLink {
 public:
  virtual ~QuotaLink() = default;
  /// \param timeout after which nothing is delivered; credit granted later is
  ///     lost
  virtual void AskCredit(const state::Endpoint& host,
                         const CreditRequest& request, state::Duration timeout,
                         CreditHandler handler) = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_QUOTA_QUOTA_LINK_H_
