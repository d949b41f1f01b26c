#include "platform/store_source.h"

#include <catch2/catch.hpp>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "banyanknot/transport/http_server.h"
#include "banyanknot/transport/io_threads.h"
#include "banyanknot/transport/steady_clock.h"
#include "platform/wire_names.h"
#include "support/broken_heads.h"
#include "transport/raw_byte_server.h"

namespace banyanknot::platform {
namespace {

using coordination::RoutingBatch;
using coordination::SourceFailure;
using SourceResult = state::Result<RoutingBatch, SourceFailure>;

constexpr std::chrono::seconds kTimeout{20};

/// A store whose response to each request target is scripted by the test.
class ScriptedStore : public transport::HttpHandler {
 public:
  using Script = std::function<protocol::HttpResponse(const std::string&)>;

  explicit ScriptedStore(Script script)
      : script(std::move(script)),
        server(threads.Context(), *this, {}),
        port(state::ValueOf(this->server.Listen({"127.0.0.1", 0}))),
        source(threads.Context(), clock, {"127.0.0.1", port}) {}
  ~ScriptedStore() override { this->threads.Stop(); }

  void Handle(std::shared_ptr<transport::HttpExchange> exchange) override {
    const std::string target = exchange->Request().target;
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      this->targets.push_back(target);
    }
    exchange->Respond(this->script(target));
  }
  SourceResult ReadAll() {
    std::promise<SourceResult> promise;
    this->source.ReadAll([&promise](SourceResult result) {
      promise.set_value(std::move(result));
    });
    return WaitFor(promise);
  }
  SourceResult Watch(const state::SourcePosition& after) {
    std::promise<SourceResult> promise;
    this->source.Watch(after, state::Milliseconds(1'000),
                       [&promise](SourceResult result) {
                         promise.set_value(std::move(result));
                       });
    return WaitFor(promise);
  }
  std::vector<std::string> Targets() const {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->targets;
  }

 private:
  static SourceResult WaitFor(std::promise<SourceResult>& promise) {
    std::future<SourceResult> future = promise.get_future();
    REQUIRE(future.wait_for(kTimeout) == std::future_status::ready);
    return future.get();
  }

  const Script script;
  mutable std::mutex mutex;
  std::vector<std::string> targets;
  transport::SteadyClock clock;
  transport::IoThreads threads{2};
  transport::HttpServer server;
  const std::uint16_t port;
  StoreSource source;
};

protocol::HttpResponse Respond(unsigned status, std::string body) {
  protocol::HttpResponse response;
  response.status = status;
  response.body = std::move(body);
  return response;
}

TEST_CASE("ReadAll reads all pages and returns the revision of the first") {
  ScriptedStore store([](const std::string& target) {
    const std::string key = target.find("after=") == std::string::npos
                                ? "op/evacuate/a"
                                : "op/evacuate/b";
    const bool has_more = key.back() == 'a';
    return Respond(200, R"({"items":[{"Key":")" + key +
                            R"(","Value":"e30=","Revision":3}],"HasMore":)" +
                            (has_more ? "true" : "false") + R"(,"AsOf":)" +
                            (has_more ? "7" : "9") + "}");
  });
  const SourceResult result = store.ReadAll();
  REQUIRE(state::IsOk(result));
  CHECK(state::ValueOf(result).position.revision == 7);
  CHECK(state::ValueOf(result).changes.size() == 2);
  CHECK(store.Targets().size() == 2);
}

TEST_CASE("ReadAll goes past items without a readable key") {
  ScriptedStore store([](const std::string& target) {
    if (target.find("after=") == std::string::npos) {
      return Respond(200, R"({"items":[)"
                          R"({"Key":"op/evacuate/a","Value":"e30="},)"
                          R"({"Key":7,"Value":"e30="},[],null],)"
                          R"("HasMore":true,"AsOf":7})");
    }
    return Respond(200, R"({"items":[null,)"
                        R"({"Key":"op/evacuate/b","Value":"e30="}],)"
                        R"("HasMore":false,"AsOf":7})");
  });
  const SourceResult result = store.ReadAll();
  REQUIRE(state::IsOk(result));
  std::size_t domains = 0;
  for (const coordination::RoutingChange& change :
       state::ValueOf(result).changes) {
    if (std::holds_alternative<coordination::DomainStateChange>(change)) {
      ++domains;
    }
  }
  CHECK(domains == 2);
  CHECK(store.Targets().back().find("after=op/evacuate/a") !=
        std::string::npos);
}

TEST_CASE("ReadAll fails rather than read the same page for ever") {
  for (const char* items :
       {R"([null])", R"([{"Key":""}])", R"([{"Key":"a","Value":"e30="}])"}) {
    ScriptedStore store([items](const std::string& /*target*/) {
      return Respond(200, std::string(R"({"items":)") + items +
                              R"(,"HasMore":true,"AsOf":7})");
    });
    CHECK_FALSE(state::IsOk(store.ReadAll()));
    CHECK(store.Targets().size() <= 2);
  }
}

TEST_CASE("ReadAll encodes the key of the next page") {
  ScriptedStore store([](const std::string& target) {
    const bool is_first = target.find("after=") == std::string::npos;
    return Respond(200, std::string(R"({"items":[{"Key":"x y&z#\r\n%"}],)") +
                            R"("HasMore":)" + (is_first ? "true" : "false") +
                            R"(,"AsOf":7})");
  });
  REQUIRE(state::IsOk(store.ReadAll()));
  CHECK(store.Targets().back().find("after=x%20y%26z%23%0D%0A%25") !=
        std::string::npos);
}

TEST_CASE("Watch sends the revision and returns the changes after it") {
  ScriptedStore store([](const std::string& /*target*/) {
    return Respond(200, R"({"events":[{"Key":"servers/i-1","Revision":8,)"
                        R"("Deleted":true}],"AsOf":8})");
  });
  const SourceResult result = store.Watch({7});
  REQUIRE(state::IsOk(result));
  CHECK(state::ValueOf(result).position.revision == 8);
  REQUIRE(state::ValueOf(result).changes.size() == 1);
  CHECK(store.Targets().front().find("after=7&WaitMs=1000") !=
        std::string::npos);
}

TEST_CASE("Positions name the era of the store, 0 for one that can't be read") {
  const std::vector<std::pair<std::optional<std::string>, std::uint64_t>> rows =
      {{std::nullopt, 0}, {"3", 3},   {"0", 0},
       {"", 0},           {"x", 0},   {"3x", 0},
       {"-1", 0},         {"1.5", 0}, {"99999999999999999999", 0}};
  for (const auto& [text, era] : rows) {
    INFO(text.value_or("none"));
    ScriptedStore store([text = text](const std::string& /*target*/) {
      protocol::HttpResponse response =
          Respond(200, R"({"items":[],"events":[],"AsOf":8})");
      if (text) response.headers.push_back({wire::kStoreEra, *text});
      return response;
    });
    for (const SourceResult& result :
         {store.ReadAll(), store.Watch({7, era})}) {
      REQUIRE(state::IsOk(result));
      CHECK(state::ValueOf(result).position == state::SourcePosition{8, era});
    }
  }
}

TEST_CASE(
    "Changes of another era of the store are not passed as the next ones") {
  for (const char* era : {"1", "3", ""}) {
    ScriptedStore store([era](const std::string& /*target*/) {
      protocol::HttpResponse response =
          Respond(200, R"({"events":[],"AsOf":8})");
      response.headers.push_back({wire::kStoreEra, era});
      return response;
    });
    const SourceResult result = store.Watch({7, 2});
    REQUIRE_FALSE(state::IsOk(result));
    CHECK(state::ErrorOf(result) == SourceFailure::kEraChanged);
  }
}

TEST_CASE("Pages of two eras of the store make no snapshot") {
  ScriptedStore store([](const std::string& target) {
    const bool is_first = target.find("after=") == std::string::npos;
    protocol::HttpResponse response =
        Respond(200, std::string(R"({"items":[{"Key":"a"}],"HasMore":)") +
                         (is_first ? "true" : "false") + R"(,"AsOf":7})");
    response.headers.push_back({wire::kStoreEra, is_first ? "1" : "2"});
    return response;
  });
  const SourceResult result = store.ReadAll();
  REQUIRE_FALSE(state::IsOk(result));
  CHECK(state::ErrorOf(result) == SourceFailure::kEraChanged);
}

TEST_CASE(
    "A response of the store beyond the size limit is told from an outage") {
  ScriptedStore store([](const std::string& /*target*/) {
    return Respond(200,
                   std::string(5u << 20, ' ') + R"({"events":[],"AsOf":8})");
  });
  const SourceResult result = store.Watch({7});
  REQUIRE_FALSE(state::IsOk(result));
  CHECK(state::ErrorOf(result) == SourceFailure::kTooLarge);
}

TEST_CASE("Failures of the store are classified") {
  struct Row {
    unsigned status;
    std::string body;
    SourceFailure expected;
  };
  const std::vector<Row> rows = {
      {410, "", SourceFailure::kHistoryGone},
      {503, "", SourceFailure::kRefused},
      {429, "", SourceFailure::kRefused},
      {200, "no JSON", SourceFailure::kMalformed},
      {200, "[]", SourceFailure::kMalformed},
      {200, R"({"events":{},"items":{},"AsOf":4})", SourceFailure::kMalformed},
      {200, R"({"events":[],"items":[]})", SourceFailure::kMalformed},
      {200, R"({"events":[],"items":[],"AsOf":"4"})",
       SourceFailure::kMalformed},
  };
  for (const Row& row : rows) {
    INFO(row.status << " " << row.body);
    ScriptedStore store([&row](const std::string& /*target*/) {
      return Respond(row.status, row.body);
    });
    const SourceResult watched = store.Watch({1});
    REQUIRE_FALSE(state::IsOk(watched));
    CHECK(NameOf(state::ErrorOf(watched)) == NameOf(row.expected));
    CHECK_FALSE(state::IsOk(store.ReadAll()));
  }
}

// Guards against what a broken response says of the store's history or entries
// being believed.
TEST_CASE("A response of the store with a broken head says nothing") {
  for (const testing::BrokenHead& head : testing::AllBrokenHeads()) {
    INFO(head.name);
    transport::SteadyClock clock;
    transport::IoThreads threads{2};
    const transport::RawByteServer store(
        threads.Context(),
        {head.Response("", R"({"events":[],"items":[],"AsOf":4})"), "",
         std::chrono::milliseconds(0), true});
    StoreSource source(threads.Context(), clock, store.Address());
    std::promise<SourceResult> promise;
    source.ReadAll([&promise](SourceResult result) {
      promise.set_value(std::move(result));
    });
    std::future<SourceResult> future = promise.get_future();
    REQUIRE(future.wait_for(kTimeout) == std::future_status::ready);
    const SourceResult result = future.get();
    REQUIRE_FALSE(state::IsOk(result));
    CHECK(state::ErrorOf(result) == SourceFailure::kUnreachable);
    threads.Stop();
  }
}

}  // namespace
}  // namespace banyanknot::platform
