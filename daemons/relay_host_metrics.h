#ifndef BANYANKNOT_DAEMONS_RELAY_HOST_METRICS_H_
#define BANYANKNOT_DAEMONS_RELAY_HOST_METRICS_H_

#include <vector>

#include "banyanknot/coordination/memory/memory_account.h"
#include "banyanknot/coordination/metric_source.h"
#include "banyanknot/coordination/readiness.h"
#include "banyanknot/coordination/routing/relay_executor.h"
#include "banyanknot/coordination/routing/route_directory.h"
#include "banyanknot/coordination/routing/server_directory.h"
#include "banyanknot/transport/boost_event_log.h"
#include "banyanknot/transport/http_server.h"
#include "banyanknot/transport/io_threads.h"
#include "banyanknot/transport/receive_budget.h"

namespace banyanknot::daemons {

/// \brief Metrics of a relay host that no other component exports.
class RelayHostMetrics : public coordination::MetricSource {
 public:
  RelayHostMetrics(const transport::BoostEventLog& log,
                   const coordination::Readiness& readiness,
                   const coordination::RouteDirectory& routes,
                   const coordination::ServerDirectory& servers,
                   const coordination::RelayExecutor& executor,
                   const transport::IoThreads& threads,
                   const transport::ReceiveBudget& receive_budget,
                   const coordination::MemoryAccount& caller_memory,
                   const transport::HttpServer& callers)
      : log(log),
        readiness(readiness),
        routes(routes),
        servers(servers),
        executor(executor),
        threads(threads),
        receive_budget(receive_budget),
        caller_memory(caller_memory),
        callers(callers) {}

  void CollectMetrics(
      std::vector<coordination::MetricSample>& samples) const override;

 private:
  const transport::BoostEventLog& log;
  const coordination::Readiness& readiness;
  const coordination::RouteDirectory& routes;
  const coordination::ServerDirectory& servers;
  const coordination::RelayExecutor& executor;
  const transport::IoThreads& threads;
  const transport::ReceiveBudget& receive_budget;
  const coordination::MemoryAccount& caller_memory;
  const transport::HttpServer& callers;
};

}  // namespace banyanknot::daemons

#endif  // BANYANKNOT_DAEMONS_RELAY_HOST_METRICS_H_
