#ifndef BANYANKNOT_STANDINS_PLATFORM_SERVICE_H_
#define BANYANKNOT_STANDINS_PLATFORM_SERVICE_H_

#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "banyanknot/coordination/clock.h"
#include "banyanknot/coordination/timer_service.h"
#include "banyanknot/transport/http_server.h"
#include "catalogue_store.h"

namespace banyanknot::standins {

/// \brief Serves a small stand-in of the platform.
///
/// `GET /v1/entries?since=R[&wait_ms=T]`, `GET /v1/hosts`, and for tests
/// `PUT|DELETE /admin/entries/KEY`, `PUT /admin/hosts`.
class PlatformService : public transport::HttpHandler {
 public:
  PlatformService(const coordination::Clock& clock,
                  coordination::TimerService& timers, CatalogueStore& store);
  void Handle(std::shared_ptr<transport::HttpExchange> exchange) override;

  /// \brief Sets the host list, as JSON text.
  void SetHosts(const std::string& text);

 private:
  struct Watcher {
    std::shared_ptr<transport::HttpExchange> exchange;
    std::uint64_t since = 0;
  };

  void HandleEntries(const std::shared_ptr<transport::HttpExchange>& exchange);
  void HandleAdmin(const std::shared_ptr<transport::HttpExchange>& exchange);
  void AnswerWatchers();
  void EndWatch(const std::shared_ptr<transport::HttpExchange>& exchange);

  const coordination::Clock& clock;
  coordination::TimerService& timers;
  CatalogueStore& store;
  std::mutex mutex;
  std::vector<Watcher> watchers;
  std::string hosts = R"({"hosts":[]})";
};

}  // namespace banyanknot::standins

#endif  // BANYANKNOT_STANDINS_PLATFORM_SERVICE_H_
