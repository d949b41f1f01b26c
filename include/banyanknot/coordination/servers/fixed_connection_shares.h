#ifndef BANYANKNOT_COORDINATION_SERVERS_FIXED_CONNECTION_SHARES_H_
#define BANYANKNOT_COORDINATION_SERVERS_FIXED_CONNECTION_SHARES_H_

#include "banyanknot/coordination/servers/connection_shares.h"

namespace banyanknot::coordination {

/// \brief Gives every server the same share; the baseline for comparison.
class FixedConnectionShares : public ConnectionShares {
 public:
  explicit FixedConnectionShares(ConnectionShare share) : share(share) {}
  ConnectionShare Of(const state::ServerId& /*server*/,
                     const state::Endpoint& /*endpoint*/) const override {
    return this->share;
  }

 private:
  const ConnectionShare share;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_SERVERS_FIXED_CONNECTION_SHARES_H_
