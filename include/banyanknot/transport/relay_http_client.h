#ifndef BANYANKNOT_TRANSPORT_RELAY_HTTP_CLIENT_H_
#define BANYANKNOT_TRANSPORT_RELAY_HTTP_CLIENT_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "banyanknot/coordination/clock.h"
#include "banyanknot/coordination/event_log.h"
#include "banyanknot/coordination/metric_source.h"
#include "banyanknot/coordination/routing/relay_client.h"
#include "banyanknot/protocol/relay_codec.h"
#include "banyanknot/state/sharded_table.h"
#include "banyanknot/transport/http_connection_pool.h"

namespace banyanknot::transport {

/// \brief Relays requests over keep-alive HTTP connections, with one pool for
/// each server instance and endpoint.
///
/// Thread-safe.
class RelayHttpClient : public coordination::RelayClient,
                        public coordination::MetricSource {
 public:
  /// \param receive_budget limits what unfinished replies may hold
  RelayHttpClient(boost::asio::io_context& context,
                  const coordination::Clock& clock,
                  const protocol::RelayCodec& codec,
                  std::shared_ptr<ReceiveBudget> receive_budget,
                  coordination::EventLog& log);

  std::shared_ptr<coordination::RelayCall> Send(
      coordination::RelaySend send,
      coordination::RelayHandler handler) override;
  void CheckHealth(coordination::HealthCheck check,
                   coordination::ServerHealthHandler handler) override;
  void CloseConnections(const state::InstanceId& server,
                        const state::Endpoint& endpoint) override;
  void CollectMetrics(
      std::vector<coordination::MetricSample>& samples) const override;

 private:
  using PoolPtr = std::shared_ptr<HttpConnectionPool>;

  PoolPtr PoolOf(const state::InstanceId& server,
                 const state::Endpoint& endpoint);

  boost::asio::io_context& context;
  const coordination::Clock& clock;
  const protocol::RelayCodec& codec;
  const std::shared_ptr<ReceiveBudget> receive_budget;
  coordination::EventLog& log;
  std::atomic<std::uint64_t> misplaced_responses{0};
  std::atomic<std::uint64_t> malformed_responses{0};
  state::ShardedTable<std::string, PoolPtr> pools;
};

}  // namespace banyanknot::transport

#endif  // BANYANKNOT_TRANSPORT_RELAY_HTTP_CLIENT_H_
