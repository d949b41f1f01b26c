#ifndef BANYANKNOT_STANDINS_PLATFORM_SERVICE_H_
#define BANYANKNOT_STANDINS_PLATFORM_SERVICE_H_

#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "banyanknot/coordination/clock.h"
#include "banyanknot/coordination/timer_service.h"
#include "banyanknot/transport/http_server.h"
#include "catalogue_store.h"
#include "lagging_host_list.h"
#include "platform_mode.h"
#include "read_meter.h"

namespace banyanknot::standins {

/// \brief Stands in for the platform.
///
/// `GET /v1/entries?since=R[&wait_ms=T]` and `GET /v1/hosts`, each counted
/// against the cap; a waiting watch counts once. For tests
/// `PUT|DELETE /admin/entries/KEY`, `PUT /admin/hosts`,
/// `PUT /admin/mode {"mode", "stale_revision", "host_lag_ms"}` and
/// `GET /admin/counters`.
class PlatformService : public transport::HttpHandler {
 public:
  PlatformService(const coordination::Clock& clock,
                  coordination::TimerService& timers, CatalogueStore& store);
  void Handle(std::shared_ptr<transport::HttpExchange> exchange) override;

  /// \brief Sets the host list, as JSON text.
  void SetHosts(const std::string& text);

 private:
  using Exchange = std::shared_ptr<transport::HttpExchange>;
  struct Watcher {
    Exchange exchange;
    std::uint64_t since = 0;
  };

  void HandleRead(const Exchange& exchange);
  void HandleEntries(const Exchange& exchange);
  void HandleAdmin(const Exchange& exchange);
  void HandleAdminEntry(const Exchange& exchange);
  bool ChangeMode(const std::string& body);
  coordination::RawUpdate UpdateSince(std::uint64_t since);
  void Answer(const Watcher& watcher);
  void AnswerWatchers();
  void EndWatch(const Exchange& exchange);
  std::string CountersText();

  const coordination::Clock& clock;
  coordination::TimerService& timers;
  CatalogueStore& store;
  std::mutex mutex;
  PlatformMode mode = PlatformMode::kUp;
  std::uint64_t stale_revision = 0;
  ReadMeter meter;
  LaggingHostList hosts;
  std::vector<Watcher> watchers;
  std::vector<Exchange> hanging;
};

}  // namespace banyanknot::standins

#endif  // BANYANKNOT_STANDINS_PLATFORM_SERVICE_H_
