#include "banyanknot/transport/http_server.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "banyanknot/transport/asio_timer_service.h"
#include "banyanknot/transport/io_threads.h"
#include "transport/peer_link_fakes.h"

namespace banyanknot::transport {
namespace {

using boost::asio::ip::tcp;

// Echoes bodies, for `/later` from a timer after 1 ms; stores the exchange of
// `/keep` and destroys that of `/drop`.
class EchoHandler : public HttpHandler {
 public:
  explicit EchoHandler(AsioTimerService& timers) : timers(timers) {}

  void Handle(std::shared_ptr<HttpExchange> exchange) override {
    const std::string& target = exchange->Request().target;
    ++this->handled;
    if (target == "/drop") return;
    if (target == "/keep") {
      exchange->OnClosed([this] { this->closed.set_value(); });
      const std::lock_guard<std::mutex> lock(this->mutex);
      this->kept.push_back(exchange);
      this->arrived.set_value();
      return;
    }
    if (target == "/later") {
      this->timers.RunAt(
          std::chrono::steady_clock::now() + state::Milliseconds(1),
          [exchange] {
            exchange->Respond({200, exchange->Request().body});
          });
      return;
    }
    exchange->Respond({200, exchange->Request().body});
  }

  AsioTimerService& timers;

  std::atomic<std::size_t> handled{0};
  std::promise<void> arrived;
  std::promise<void> closed;
  std::mutex mutex;
  std::vector<std::shared_ptr<HttpExchange>> kept;
};

struct ServerFixture {
  explicit ServerFixture(HttpServerLimits limits = {})
      : threads(2),
        timers(threads.Context()),
        handler(timers),
        server(threads.Context(), handler, limits) {
    this->port = state::ValueOf(this->server.Listen({"127.0.0.1", 0}));
  }
  ~ServerFixture() {
    {
      const std::lock_guard<std::mutex> lock(this->handler.mutex);
      this->handler.kept.clear();
    }
    this->threads.Stop();
  }

  IoThreads threads;
  AsioTimerService timers;
  EchoHandler handler;
  HttpServer server;
  std::uint16_t port = 0;
};

// An HTTP client that writes raw bytes.
class RawHttpClient {
 public:
  explicit RawHttpClient(std::uint16_t port) : socket(this->context) {
    this->socket.connect({boost::asio::ip::make_address("127.0.0.1"), port});
  }

  void Write(const std::string& bytes) {
    boost::system::error_code ignored;
    boost::asio::write(this->socket, boost::asio::buffer(bytes), ignored);
  }

  // Reads until `end` was received or the server closed.
  std::string ReadUntil(const std::string& end) {
    std::future<std::string> text = std::async(std::launch::async, [&] {
      std::string bytes;
      char byte = 0;
      boost::system::error_code error;
      while (end.empty() || bytes.find(end) == std::string::npos) {
        this->socket.read_some(boost::asio::buffer(&byte, 1), error);
        if (error) break;
        bytes.push_back(byte);
      }
      return bytes;
    });
    if (text.wait_for(kTestTimeout) != std::future_status::ready) {
      boost::system::error_code ignored;
      this->socket.shutdown(tcp::socket::shutdown_both, ignored);
      return "still open";
    }
    return text.get();
  }
  std::string ReadAll() { return this->ReadUntil(""); }

  void Close() { this->socket.close(); }

 private:
  boost::asio::io_context context;
  tcp::socket socket;
};

std::string Post(const std::string& target, const std::string& body) {
  return "POST " + target + " HTTP/1.1\r\nHost: h\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string FirstLine(const std::string& text) {
  return text.substr(0, text.find("\r\n"));
}

HttpServerLimits SmallLimits() {
  HttpServerLimits limits;
  limits.max_body_bytes = 1'000;
  limits.max_header_bytes = 1'000;
  limits.read_timeout = state::Milliseconds(50);
  limits.linger = state::Milliseconds(200);
  return limits;
}

TEST_CASE("Invalid input gets an error response and a closed connection") {
  struct Row {
    const char* name;
    std::string bytes;
    const char* first_line;
  };
  const std::vector<Row> rows = {
      {"garbage", "\x01\x02\x03\r\n\r\n", "HTTP/1.1 400 Bad Request"},
      {"no version", "GET /\r\n\r\n", "HTTP/1.1 400 Bad Request"},
      {"wrong length", "POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n",
       "HTTP/1.1 400 Bad Request"},
      {"a folded header field",
       "POST / HTTP/1.1\r\nA: b\r\n c\r\nContent-Length: 0\r\n\r\n",
       "HTTP/1.1 400 Bad Request"},
      {"an unknown transfer encoding",
       "POST / HTTP/1.1\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
       "HTTP/1.1 400 Bad Request"},
      {"two transfer encodings",
       "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"
       "0\r\n\r\n",
       "HTTP/1.1 400 Bad Request"},
      {"a TRACE request with a body",
       "TRACE / HTTP/1.1\r\nContent-Length: 4\r\n\r\nplan",
       "HTTP/1.1 400 Bad Request"},
      {"a TRACE request with a body in chunks",
       "TRACE / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
       "4\r\nplan\r\n0\r\n\r\n",
       "HTTP/1.1 400 Bad Request"},
      {"body too large", Post("/", std::string(5'000'000, 'x')),
       "HTTP/1.1 413 Payload Too Large"},
      {"declared length too large",
       "POST / HTTP/1.1\r\nContent-Length: 99999\r\n\r\n",
       "HTTP/1.1 413 Payload Too Large"},
      {"header too large",
       "GET / HTTP/1.1\r\nX: " + std::string(5'000, 'x') + "\r\n\r\n",
       "HTTP/1.1 431 Request Header Fields Too Large"},
      {"slow header", "GET / HTTP/1.1\r\nHo", "HTTP/1.1 408 Request Timeout"},
      {"slow body", "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc",
       "HTTP/1.1 408 Request Timeout"},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    ServerFixture fixture(SmallLimits());
    RawHttpClient good(fixture.port);
    RawHttpClient bad(fixture.port);
    bad.Write(row.bytes);
    CHECK(FirstLine(bad.ReadAll()) == row.first_line);
    good.Write(Post("/", "fine"));
    CHECK(FirstLine(good.ReadUntil("fine")) == "HTTP/1.1 200 OK");
  }
}

// Guards against a connection that is never answered or closed: the HTTP
// library throws for a longer field, whatever the limit.
TEST_CASE("A header field over 64 KiB is refused where the limit is greater") {
  HttpServerLimits limits = SmallLimits();
  limits.max_header_bytes = 200'000;
  ServerFixture fixture(limits);
  RawHttpClient caller(fixture.port);
  caller.Write("GET / HTTP/1.1\r\nX: " + std::string(70'000, 'x') + "\r\n\r\n");
  CHECK(FirstLine(caller.ReadAll()) ==
        "HTTP/1.1 431 Request Header Fields Too Large");
}

TEST_CASE("An idle connection is closed after the idle timeout") {
  HttpServerLimits limits;
  limits.idle_timeout = state::Milliseconds(50);
  ServerFixture fixture(limits);
  RawHttpClient fresh(fixture.port);
  CHECK(fresh.ReadAll().empty());
  RawHttpClient used(fixture.port);
  used.Write(Post("/", "once"));
  CHECK(FirstLine(used.ReadAll()) == "HTTP/1.1 200 OK");
}

// Guards against a request being judged by limits that were read when its
// connection became idle.
TEST_CASE("Raised limits apply to connections that are open") {
  HttpServerLimits limits = SmallLimits();
  limits.read_timeout = state::Milliseconds(5'000);
  limits.idle_timeout = state::Milliseconds(1'000);
  ServerFixture fixture(limits);
  RawHttpClient fresh(fixture.port);
  RawHttpClient used(fixture.port);
  RawHttpClient begun(fixture.port);
  used.Write(Post("/", "small"));
  CHECK(FirstLine(used.ReadUntil("small")) == "HTTP/1.1 200 OK");
  const std::string large = Post("/", std::string(5'000, 'x') + "end");
  begun.Write(large.substr(0, 10));
  // The first bytes are read by the time that a later request is served.
  used.Write(Post("/", "again"));
  CHECK(FirstLine(used.ReadUntil("again")) == "HTTP/1.1 200 OK");
  limits.max_body_bytes = 10'000;
  limits.idle_timeout = state::Milliseconds(60'000);
  fixture.server.SetLimits(limits);
  begun.Write(large.substr(10));
  CHECK(FirstLine(begun.ReadUntil("end")) == "HTTP/1.1 200 OK");
  // Past the idle timeout that was in force when they became idle.
  std::this_thread::sleep_for(std::chrono::milliseconds(1'300));
  for (RawHttpClient* caller : {&fresh, &used}) {
    caller->Write(large);
    CHECK(FirstLine(caller->ReadUntil("end")) == "HTTP/1.1 200 OK");
  }
}

TEST_CASE("A caller that disconnects during a request affects no other") {
  ServerFixture fixture;
  {
    RawHttpClient gone(fixture.port);
    gone.Write("POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc");
  }
  RawHttpClient good(fixture.port);
  good.Write(Post("/", "fine"));
  CHECK(FirstLine(good.ReadUntil("fine")) == "HTTP/1.1 200 OK");
}

TEST_CASE("OnClosed is called if the caller closes before its response") {
  ServerFixture fixture;
  RawHttpClient caller(fixture.port);
  caller.Write(Post("/keep", ""));
  REQUIRE(fixture.handler.arrived.get_future().wait_for(kTestTimeout) ==
          std::future_status::ready);
  caller.Close();
  CHECK(fixture.handler.closed.get_future().wait_for(kTestTimeout) ==
        std::future_status::ready);
}

TEST_CASE("Destroying an exchange closes its connection") {
  ServerFixture fixture;
  RawHttpClient caller(fixture.port);
  caller.Write(Post("/drop", ""));
  CHECK(caller.ReadAll().empty());
}

TEST_CASE("Requests on one connection are answered in order") {
  ServerFixture fixture;
  RawHttpClient caller(fixture.port);
  caller.Write(Post("/", "first") + Post("/", "second"));
  const std::string text = caller.ReadUntil("second");
  CHECK(text.find("first") < text.find("second"));
  caller.Write(Post("/", "third"));
  CHECK(caller.ReadUntil("third").find("third") != std::string::npos);
}

TEST_CASE("Requests that arrive in two parts are answered on one connection") {
  ServerFixture fixture;
  RawHttpClient caller(fixture.port);
  for (int round = 0; round < 300; ++round) {
    const std::string body = "round " + std::to_string(round) + ".";
    const std::string request = Post("/later", body);
    caller.Write(request.substr(0, request.size() - body.size()));
    caller.Write(body);
    REQUIRE(caller.ReadUntil(body).find(body) != std::string::npos);
  }
}

TEST_CASE("Connections beyond the limit are closed and affect no other") {
  HttpServerLimits limits;
  limits.max_connections = 1;
  ServerFixture fixture(limits);
  RawHttpClient first(fixture.port);
  first.Write(Post("/", "a"));
  CHECK(FirstLine(first.ReadUntil("\r\n\r\na")) == "HTTP/1.1 200 OK");
  RawHttpClient second(fixture.port);
  CHECK(second.ReadAll().empty());
  first.Write(Post("/", "b"));
  CHECK(FirstLine(first.ReadUntil("\r\n\r\nb")) == "HTTP/1.1 200 OK");
}

TEST_CASE("A waiting connection is closed for a new one where that is asked") {
  HttpServerLimits limits;
  limits.max_connections = 8;
  limits.displaces_waiting = true;
  ServerFixture fixture(limits);
  std::vector<std::unique_ptr<RawHttpClient>> idle;
  for (int count = 0; count < 8; ++count) {
    idle.push_back(std::make_unique<RawHttpClient>(fixture.port));
    idle.back()->Write(Post("/", "a"));
    CHECK(FirstLine(idle.back()->ReadUntil("\r\n\r\na")) == "HTTP/1.1 200 OK");
  }
  RawHttpClient newcomer(fixture.port);
  newcomer.Write(Post("/", "b"));
  CHECK(FirstLine(newcomer.ReadUntil("\r\n\r\nb")) == "HTTP/1.1 200 OK");
  CHECK(idle.front()->ReadAll().empty());
  CHECK(fixture.server.DisplacedConnections() == 1);
  CHECK(fixture.server.RefusedConnections() == 0);
}

TEST_CASE("Shutdown answers a request that has begun to arrive") {
  ServerFixture fixture;
  RawHttpClient caller(fixture.port);
  RawHttpClient idle(fixture.port);
  idle.Write(Post("/", "idle"));
  CHECK(FirstLine(idle.ReadUntil("idle")) == "HTTP/1.1 200 OK");
  const std::string second = Post("/", "second");
  caller.Write(Post("/", "first") + second.substr(0, 20));
  CHECK(FirstLine(caller.ReadUntil("first")) == "HTTP/1.1 200 OK");
  fixture.server.Shutdown();
  CHECK(idle.ReadAll().empty());
  caller.Write(second.substr(20));
  const std::string text = caller.ReadAll();
  CHECK(FirstLine(text) == "HTTP/1.1 200 OK");
  CHECK(text.find("second") != std::string::npos);
}

TEST_CASE("A pending response is still sent after Shutdown") {
  ServerFixture fixture;
  RawHttpClient caller(fixture.port);
  caller.Write(Post("/keep", ""));
  REQUIRE(fixture.handler.arrived.get_future().wait_for(kTestTimeout) ==
          std::future_status::ready);
  fixture.server.Shutdown();
  {
    const std::lock_guard<std::mutex> lock(fixture.handler.mutex);
    fixture.handler.kept[0]->Respond({200, "done"});
  }
  CHECK(caller.ReadAll().find("done") != std::string::npos);
}

TEST_CASE("A request concurrent with Shutdown is answered or not handled") {
  constexpr int kRounds = 150;
  constexpr std::size_t kCallers = 12;
  std::size_t handled = 0;
  std::size_t answered = 0;
  for (int round = 0; round < kRounds; ++round) {
    ServerFixture fixture;
    std::vector<std::unique_ptr<RawHttpClient>> callers;
    for (std::size_t index = 0; index < kCallers; ++index) {
      callers.push_back(std::make_unique<RawHttpClient>(fixture.port));
      callers.back()->Write(Post("/", "warm"));
      REQUIRE(FirstLine(callers.back()->ReadUntil("warm")) ==
              "HTTP/1.1 200 OK");
    }
    const std::size_t before = fixture.handler.handled;
    std::thread writer([&callers] {
      for (const std::unique_ptr<RawHttpClient>& caller : callers) {
        caller->Write(Post("/", "crosses"));
      }
    });
    fixture.server.Shutdown();
    writer.join();
    for (const std::unique_ptr<RawHttpClient>& caller : callers) {
      if (caller->ReadAll().find("crosses") != std::string::npos) ++answered;
    }
    handled += fixture.handler.handled - before;
  }
  CHECK(answered == handled);
}

}  // namespace
}  // namespace banyanknot::transport
