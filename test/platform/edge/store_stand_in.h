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
#include "banyanknot/transport/http_server.h"
#include "banyanknot/transport/io_threads.h"

namespace banyanknot::platform::edge_testing {

/// \brief How the store handles requests.
enum class StoreMode {
  kUp,
  kRefusing,     ///< responds with status 503
  kSilent,       ///< never responds
  kHistoryLost,  ///< has no history: responds to watches with status 410
  kLosingReply,  ///< closes the connection instead of responding
};

/// \brief A store that speaks the platform's protocol: range reads and watches.
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

  /// \brief Returns the number of requests since the start.
  std::size_t Calls() const { return this->calls; }

  void Handle(std::shared_ptr<transport::HttpExchange> exchange) override;

 private:
  struct Watch {
    std::uint64_t after = 0;
    std::shared_ptr<transport::HttpExchange> exchange;
  };

  void Write(const std::string& key, nlohmann::json item);
  nlohmann::json EventsAfter(std::uint64_t after) const;
  protocol::HttpResponse Range() const;
  void AnswerWatches();

  std::atomic<std::size_t> calls{0};
  mutable std::mutex mutex;
  StoreMode mode = StoreMode::kUp;
  std::uint64_t revision = 1;
  std::map<std::string, nlohmann::json> items;  // by key, with deleted ones
  std::vector<Watch> watches;
  std::vector<std::shared_ptr<transport::HttpExchange>> unanswered;
  transport::IoThreads threads{1};
  transport::HttpServer server;
  std::uint16_t port = 0;
};

}  // namespace banyanknot::platform::edge_testing

#endif  // BANYANKNOT_TEST_PLATFORM_EDGE_STORE_STAND_IN_H_
