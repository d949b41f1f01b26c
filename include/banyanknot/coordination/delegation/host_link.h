#ifndef BANYANKNOT_COORDINATION_DELEGATION_HOST_LINK_H_
#define BANYANKNOT_COORDINATION_DELEGATION_HOST_LINK_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "banyanknot/coordination/delegation/change_history.h"
#include "banyanknot/coordination/delegation/delegation_failure.h"
#include "banyanknot/coordination/routing/relay_client.h"
#include "banyanknot/state/result.h"
#include "banyanknot/state/routing/host_advert.h"

namespace banyanknot::coordination {

/// \brief A whole request that one host passes to another.
struct DelegatedRequest {
  std::shared_ptr<const state::RelayRequest> request;
  std::uint64_t routes_version = 0;  ///< both hosts must have this one
  state::TimePoint deadline;         ///< of the answer
};

using DelegationResult = state::Result<RelayReply, DelegationFailure>;
using DelegationHandler = std::function<void(DelegationResult)>;
/// \brief Gets the adverts of the asked host; nothing if it did not reply.
using AdvertsHandler =
    std::function<void(const std::optional<std::vector<state::HostAdvert>>&)>;

/// \brief Gets what another host passes on; nothing if it did not reply.
using ChangesHandler = std::function<void(std::optional<PassedChanges>)>;

/// \brief Talks to other hosts.
///
/// Thread-safe. Handlers run on any thread, exactly once, never inside the
/// call.
class HostLink {
 public:
  virtual ~HostLink() = default;
  /// \brief Passes a request to another host. A cancelled one ends with kLost.
  virtual std::shared_ptr<RelayCall> Delegate(const state::Endpoint& host,
                                              DelegatedRequest request,
                                              DelegationHandler handler) = 0;
  /// \brief Tells a host of this one and asks it for the adverts of this host's
  /// failure domain.
  virtual void ExchangeAdverts(const state::Endpoint& host,
                               const state::HostAdvert& own,
                               AdvertsHandler handler) = 0;
  /// \brief Waits up to `wait` for published changes after the position
  /// `after` that another host heard of.
  virtual void FollowChanges(const state::Endpoint& host,
                             const state::SourcePosition& after,
                             state::Duration wait, ChangesHandler handler) = 0;
  /// \brief Asks another host for all that is published.
  virtual void ReadSnapshot(const state::Endpoint& host,
                            ChangesHandler handler) = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_DELEGATION_HOST_LINK_H_
