#ifndef BANYANKNOT_TRANSPORT_HOST_HTTP_LINK_H_
#define BANYANKNOT_TRANSPORT_HOST_HTTP_LINK_H_

#include <memory>
#include <string>

#include "banyanknot/coordination/clock.h"
#include "banyanknot/coordination/delegation/host_link.h"
#include "banyanknot/coordination/quota/quota_link.h"
#include "banyanknot/protocol/relay_codec.h"
#include "banyanknot/state/sharded_table.h"
#include "banyanknot/transport/http_connection_pool.h"

namespace banyanknot::transport {

/// \brief Talks to other relay hosts over keep-alive HTTP connections.
///
/// A connection that has been idle for some time is checked before it carries a
/// request, since it may have gone silent. Thread-safe.
class HostHttpLink : public coordination::HostLink,
                     public coordination::QuotaLink {
 public:
  HostHttpLink(boost::asio::io_context& context,
               const coordination::Clock& clock,
               const protocol::RelayCodec& codec,
               std::shared_ptr<ReceiveBudget> receive_budget);

  std::shared_ptr<coordination::RelayCall> Delegate(
      const state::Endpoint& host, coordination::DelegatedRequest request,
      coordination::DelegationHandler handler) override;
  void ExchangeAdverts(const state::Endpoint& host,
                       const state::HostAdvert& own,
                       coordination::AdvertsHandler handler) override;
  void FollowChanges(const state::Endpoint& host,
                     const state::SourcePosition& after, state::Duration wait,
                     coordination::ChangesHandler handler) override;
  void ReadSnapshot(const state::Endpoint& host,
                    coordination::ChangesHandler handler) override;
  void AskCredit(const state::Endpoint& host,
                 const coordination::CreditRequest& request,
                 state::Duration timeout,
                 coordination::CreditHandler handler) override;

 private:
  using PoolPtr = std::shared_ptr<HttpConnectionPool>;

  PoolPtr PoolOf(const state::Endpoint& host);
  void GetChanges(const state::Endpoint& host, const std::string& target,
                  state::Duration timeout,
                  coordination::ChangesHandler handler);

  boost::asio::io_context& context;
  const coordination::Clock& clock;
  const protocol::RelayCodec& codec;
  const std::shared_ptr<ReceiveBudget> receive_budget;
  state::ShardedTable<std::string, PoolPtr> pools;
};

}  // namespace banyanknot::transport

#endif  // BANYANKNOT_TRANSPORT_HOST_HTTP_LINK_H_
