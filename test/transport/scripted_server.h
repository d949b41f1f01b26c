#ifndef BANYANKNOT_TEST_TRANSPORT_SCRIPTED_SERVER_H_
#define BANYANKNOT_TEST_TRANSPORT_SCRIPTED_SERVER_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "banyanknot/state/endpoint.h"

namespace banyanknot::transport {

/// \brief How a scripted server responds to one request.
enum class ResponseMode {
  kAnswer,
  kAnswerAndClose,    ///< answers with keep-alive, but closes
  kReset,             ///< resets the connection without an answer
  kHalfClose,         ///< shuts down sending without an answer
  kSilent,            ///< reads and never answers
  kGarbage,           ///< answers with bytes that are not HTTP
  kTruncated,         ///< answers with half a response, then closes
  kAnswerTwice,       ///< sends two answers to one request
  kAnswerShortLived,  ///< announces a Keep-Alive timeout of 2 s
  kEcho,              ///< answers with the request's body
  kEchoTwiceLate,     ///< the same, and again before the next answer
  kChunkedCut,        ///< ends between two chunks of an answer
  kNoLengthClose,     ///< an answer without a length, ended by a close
  kNoLengthReset,     ///< an answer without a length, cut by a reset
};

/// \brief One request received by a scripted server.
struct ReceivedRequest {
  int connection = 0;  ///< counts from 0
  std::string target;
  std::string body;
  std::string source;  ///< IP address of the client
};

/// \brief HTTP server on a loopback socket with scripted responses and faults.
class ScriptedServer {
 public:
  using Script = std::function<ResponseMode(const ReceivedRequest&)>;

  ScriptedServer(boost::asio::io_context& context, Script script)
      : shared(std::make_shared<Shared>(context, std::move(script))) {
    this->shared->AcceptNext();
  }
  ~ScriptedServer() { this->StopListening(); }

  state::Endpoint Address() const {
    return {"127.0.0.1", this->shared->acceptor.local_endpoint().port()};
  }
  std::vector<ReceivedRequest> Requests() const {
    const std::lock_guard<std::mutex> lock(this->shared->mutex);
    return this->shared->seen;
  }
  int Connections() const { return this->shared->connections; }
  void StopListening() {
    boost::system::error_code ignored;
    this->shared->acceptor.close(ignored);
  }

 private:
  using tcp = boost::asio::ip::tcp;
  static constexpr std::chrono::milliseconds kServiceTime{30};

  struct Shared : std::enable_shared_from_this<Shared> {
    Shared(boost::asio::io_context& context, Script script)
        : context(context),
          script(std::move(script)),
          acceptor(context, tcp::endpoint(tcp::v4(), 0)) {}
    void AcceptNext();

    boost::asio::io_context& context;
    const Script script;
    tcp::acceptor acceptor;
    std::atomic<int> connections{0};
    mutable std::mutex mutex;
    std::vector<ReceivedRequest> seen;
  };

  struct Connection : std::enable_shared_from_this<Connection> {
    Connection(std::shared_ptr<Shared> server, tcp::socket socket, int index)
        : server(std::move(server)), socket(std::move(socket)), index(index) {}
    void ReadNext();
    std::string Source() const;
    void Respond(ResponseMode mode);
    void Echo();
    void WriteAndClose(const std::string& bytes);
    void WriteAndReadOn(std::string text);

    const std::shared_ptr<Shared> server;
    tcp::socket socket;
    const int index;
    boost::beast::flat_buffer buffer;
    boost::beast::http::request<boost::beast::http::string_body> request;
    std::string bytes;
    std::string late_copy;  // of an answer, sent with the next one
  };

  std::shared_ptr<Shared> shared;
};

inline void ScriptedServer::Shared::AcceptNext() {
  this->acceptor.async_accept(
      boost::asio::make_strand(this->context),
      [self = this->shared_from_this()](const boost::system::error_code& error,
                                        tcp::socket socket) {
        if (error) return;
        std::make_shared<Connection>(self, std::move(socket),
                                     self->connections++)
            ->ReadNext();
        self->AcceptNext();
      });
}

inline void ScriptedServer::Connection::ReadNext() {
  this->request = {};
  boost::beast::http::async_read(
      this->socket, this->buffer, this->request,
      [self = this->shared_from_this()](const boost::system::error_code& error,
                                        std::size_t /*bytes*/) {
        if (error) return;
        const ReceivedRequest seen{self->index,
                                   std::string(self->request.target()),
                                   self->request.body(), self->Source()};
        {
          const std::lock_guard<std::mutex> lock(self->server->mutex);
          self->server->seen.push_back(seen);
        }
        self->Respond(self->server->script(seen));
      });
}

inline std::string ScriptedServer::Connection::Source() const {
  boost::system::error_code ignored;
  return this->socket.remote_endpoint(ignored).address().to_string();
}

inline void ScriptedServer::Connection::Respond(ResponseMode mode) {
  const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
  boost::system::error_code ignored;
  switch (mode) {
    case ResponseMode::kAnswer:
      this->WriteAndReadOn(answer);
      return;
    case ResponseMode::kAnswerTwice:
      this->WriteAndReadOn(answer + answer);
      return;
    case ResponseMode::kAnswerShortLived:
      this->WriteAndReadOn(
          "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=2\r\n"
          "Content-Length: 2\r\n\r\n{}");
      return;
    case ResponseMode::kAnswerAndClose:
      this->WriteAndClose(answer);
      return;
    case ResponseMode::kReset:
      this->socket.set_option(boost::asio::socket_base::linger(true, 0),
                              ignored);
      this->socket.close(ignored);
      return;
    case ResponseMode::kHalfClose:
      this->socket.shutdown(tcp::socket::shutdown_send, ignored);
      this->ReadNext();
      return;
    case ResponseMode::kSilent:
      this->ReadNext();
      return;
    case ResponseMode::kGarbage:
      this->WriteAndClose("these bytes are not HTTP\r\n\r\n");
      return;
    case ResponseMode::kTruncated:
      this->WriteAndClose(answer.substr(0, answer.size() - 1));
      return;
    case ResponseMode::kEcho:
      this->Echo();
      return;
    case ResponseMode::kEchoTwiceLate:
      this->Echo();
      this->late_copy = this->bytes;
      return;
    case ResponseMode::kChunkedCut:
      this->WriteAndClose(
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n");
      return;
    case ResponseMode::kNoLengthClose:
      this->WriteAndClose("HTTP/1.1 200 OK\r\n\r\n{}");
      return;
    case ResponseMode::kNoLengthReset:
      boost::asio::write(this->socket,
                         boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\n"
                                                         "\r\n{}")),
                         ignored);
      this->socket.set_option(boost::asio::socket_base::linger(true, 0),
                              ignored);
      this->socket.close(ignored);
      return;
  }
}

inline void ScriptedServer::Connection::Echo() {
  const std::string& body = this->request.body();
  const std::string answer =
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
      "\r\n\r\n" + body;
  if (this->late_copy.empty()) {
    this->WriteAndReadOn(answer);
    return;
  }
  boost::system::error_code ignored;
  boost::asio::write(this->socket, boost::asio::buffer(this->late_copy),
                     ignored);
  this->late_copy.clear();
  // The answer itself takes its time.
  const std::shared_ptr<boost::asio::steady_timer> timer =
      std::make_shared<boost::asio::steady_timer>(this->socket.get_executor(),
                                                  kServiceTime);
  timer->async_wait([self = this->shared_from_this(), timer,
                     answer](const boost::system::error_code& /*error*/) {
    self->WriteAndReadOn(answer);
  });
}

inline void ScriptedServer::Connection::WriteAndReadOn(std::string text) {
  this->bytes = std::move(text);
  boost::asio::async_write(
      this->socket, boost::asio::buffer(this->bytes),
      [self = this->shared_from_this()](const boost::system::error_code& error,
                                        std::size_t /*bytes*/) {
        if (!error) self->ReadNext();
      });
}

inline void ScriptedServer::Connection::WriteAndClose(
    const std::string& bytes) {
  boost::system::error_code ignored;
  boost::asio::write(this->socket, boost::asio::buffer(bytes), ignored);
  this->socket.shutdown(tcp::socket::shutdown_both, ignored);
  this->socket.close(ignored);
}

}  // namespace banyanknot::transport

#endif  // BANYANKNOT_TEST_TRANSPORT_SCRIPTED_SERVER_H_
