#ifndef BANYANKNOT_TEST_PLATFORM_EDGE_STORE_STAND_IN_H_
#define BANYANKNOT_TEST_PLATFORM_EDGE_STORE_STAND_IN_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "banyanknot/state/endpoint.h"
#include "banyanknot/transport/asio_timer_service.h"
#include "banyanknot/transport/http_server.h"
#include "banyanknot/transport/io_threads.h"
#include "banyanknot/transport/steady_clock.h"

namespace banyanknot::platform::edge_testing {

/// \brief How the store handles requests.
enum class StoreMode {
  kUp,
  kRefusing,     ///< responds with status 503
  kSilent,       ///< never responds
  kHistoryLost,  ///< has no history: responds to watches with status 410
  kLosingReply,  ///< closes the connection instead of responding
};

/// \brief Contents of a store at one of its revisions.
struct StoreCopy {
  std::uint64_t revision = 0;
  std::map<std::string, nlohmann::json> items;  ///< by key
  std::vector<nlohmann::json> events;           ///< oldest first
};

/// \brief A store that speaks the platform's protocol: range reads and watches.
///
/// Its era starts at 1 and is named in all answers.
///
/// Thread-safe.
class StoreStandIn : public transport::HttpHandler {
 public:
  StoreStandIn();
  ~StoreStandIn() override;

  state::Endpoint Address() const { return {"127.0.0.1", this->port}; }
  void SetMode(StoreMode mode);

  /// \brief Writes a value as base64 of its JSON and answers the open watches.
  void Put(const std::string& key, const nlohmann::json& value);
  /// \brief Writes a value as given, which need not be base64 or JSON.
  void PutRaw(const std::string& key, const std::string& encoded);
  void Delete(const std::string& key);

  StoreCopy TakeCopy() const;
  /// \brief Cuts the open watches and goes back to `copy`, in a new era.
  ///
  /// Later revisions are given out again. The mode stays.
  void ReturnFromCopy(const StoreCopy& copy);
  /// \brief Leaves the era out of all answers, as older stores do.
  void HideEra();
  std::uint64_t Revision() const;

  /// \brief Returns the number of requests since the start.
  std::size_t Calls() const { return this->calls; }

  void Handle(std::shared_ptr<transport::HttpExchange> exchange) override;

 private:
  struct Watch {
    std::uint64_t number = 0;
    std::uint64_t after = 0;
    std::shared_ptr<transport::HttpExchange> exchange;
  };

  void Write(const std::string& key, nlohmann::json item);
  // These need the lock to be held.
  protocol::HttpResponse Answer(unsigned status,
                                const nlohmann::json& document) const;
  protocol::HttpResponse Range() const;
  protocol::HttpResponse ChangesAfter(std::uint64_t after) const;

  void AnswerWatches();
  /// Answers an open watch without events.
  void EndWatch(std::uint64_t number);

  std::atomic<std::size_t> calls{0};
  mutable std::mutex mutex;
  StoreMode mode = StoreMode::kUp;
  StoreCopy contents;
  std::uint64_t era = 1;
  bool is_era_hidden = false;
  std::uint64_t watch_count = 0;
  std::vector<Watch> watches;
  std::vector<std::shared_ptr<transport::HttpExchange>> unanswered;
  transport::SteadyClock clock;
  transport::IoThreads threads{1};
  transport::AsioTimerService timers;
  transport::HttpServer server;
  std::uint16_t port = 0;
};

}  // namespace banyanknot::platform::edge_testing

#endif  // BANYANKNOT_TEST_PLATFORM_EDGE_STORE_STAND_IN_H_
