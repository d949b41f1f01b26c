#include "transport/server_connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <atomic>
#include <boost/asio/post.hpp>
#include <string_view>

#include "transport/http_convert.h"
#include "transport/message_head.h"

namespace banyanknot::transport::internal {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr const char* kMalformedBody =
    R"({"outcome":"invalid","error":"malformed"})";

}  // namespace

class ServerConnection::Exchange : public HttpExchange {
 public:
  Exchange(std::shared_ptr<ServerConnection> connection,
           protocol::HttpRequest request, bool keep_alive, bool is_first)
      : connection(std::move(connection)),
        request(std::move(request)),
        keep_alive(keep_alive),
        is_first(is_first) {}

  ~Exchange() override {
    if (!this->is_answered.exchange(true)) this->connection->Abort();
  }

  const protocol::HttpRequest& Request() const override {
    return this->request;
  }

  state::CallerConnection Connection() const override {
    return {this->connection->RoundTrip(), this->is_first};
  }

  void Respond(protocol::HttpResponse response) override {
    if (this->is_answered.exchange(true)) return;
    this->TakeClosedHandler();
    this->connection->Write(std::move(response), this->keep_alive);
  }

  void OnClosed(std::function<void()> handler) override {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (!this->is_closed) {
      this->closed_handler = std::move(handler);
      return;
    }
    asio::post(this->connection->stream.get_executor(), std::move(handler));
  }

  void NotifyClosed() {
    std::function<void()> handler = this->TakeClosedHandler();
    if (handler) handler();
  }

 private:
  std::function<void()> TakeClosedHandler() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->is_closed = true;
    return std::exchange(this->closed_handler, nullptr);
  }

  const std::shared_ptr<ServerConnection> connection;
  const protocol::HttpRequest request;
  const bool keep_alive;
  const bool is_first;
  std::atomic<bool> is_answered{false};
  std::mutex mutex;
  bool is_closed = false;
  std::function<void()> closed_handler;
};

std::optional<state::Duration> ServerConnection::RoundTrip() {
  tcp_info info{};
  socklen_t size = sizeof(info);
  const int handle = this->stream.socket().native_handle();
  if (getsockopt(handle, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
      info.tcpi_rtt == 0) {
    return std::nullopt;
  }
  return std::chrono::microseconds(info.tcpi_rtt);
}

void ServerConnection::ReadNext() {
  this->is_busy = this->buffer.size() > 0;
  if (this->is_busy) {
    this->BeginRequest();
  } else if (this->server->is_shut_down) {
    this->Close();
  } else {
    this->WaitForRequest();
  }
}

void ServerConnection::WaitForRequest() {
  this->stream.expires_never();
  this->idle_since = std::chrono::steady_clock::now();
  this->ArmIdleTimer();
  this->ReadSome(&ServerConnection::BeginRequest);
}

void ServerConnection::ArmIdleTimer() {
  this->timer.expires_at(this->idle_since +
                         this->server->Limits().idle_timeout);
  this->timer.async_wait(
      [self = this->shared_from_this()](const beast::error_code& error) {
        if (!error && !self->is_busy) self->OnIdleTimer();
      });
}

void ServerConnection::OnIdleTimer() {
  // The limit may have been raised since the timer was set.
  if (std::chrono::steady_clock::now() <
      this->idle_since + this->server->Limits().idle_timeout) {
    this->ArmIdleTimer();
    return;
  }
  beast::error_code ignored;
  this->stream.socket().cancel(ignored);  // ends the read
}

void ServerConnection::ReadSome(void (ServerConnection::*then)()) {
  constexpr std::size_t kReadBytes = 4096;
  this->stream.async_read_some(
      this->buffer.prepare(kReadBytes),
      [self = this->shared_from_this(), then](const beast::error_code& error,
                                              std::size_t bytes) {
        if (error) {
          self->OnRead(error);
          return;
        }
        self->buffer.commit(bytes);
        ((*self).*then)();
      });
}

void ServerConnection::BeginRequest() {
  this->is_busy = true;
  this->stream.expires_never();
  this->timer.expires_after(this->server->Limits().read_timeout);
  this->timer.async_wait(
      [self = this->shared_from_this()](const beast::error_code& error) {
        if (error) return;
        self->has_read_timed_out = true;
        beast::error_code ignored;
        self->stream.socket().cancel(ignored);  // ends the read
      });
  this->ReadHead();
}

void ServerConnection::ReadHead() {
  const std::string_view bytes(
      static_cast<const char*>(this->buffer.data().data()),
      this->buffer.size());
  switch (ExamineHead(bytes, this->server->Limits().max_header_bytes)) {
    case HeadState::kIncomplete:
      this->ReadSome(&ServerConnection::ReadHead);
      break;
    case HeadState::kFolded:
      this->timer.cancel();
      this->Reject(400, kMalformedBody);
      break;
    case HeadState::kComplete:
      this->ReadRequest();
      break;
  }
}

void ServerConnection::ReadRequest() {
  const HttpServerLimits limits = this->server->Limits();
  this->parser.emplace();
  this->parser->body_limit(limits.max_body_bytes);
  this->parser->header_limit(
      static_cast<std::uint32_t>(limits.max_header_bytes));
  http::async_read(this->stream, this->buffer, *this->parser,
                   [self = this->shared_from_this()](
                       const beast::error_code& error, std::size_t /*bytes*/) {
                     self->OnRead(error);
                   });
}

void ServerConnection::OnRead(const beast::error_code& error) {
  this->timer.cancel();
  if (error == http::error::header_limit) {
    this->Reject(431, R"({"outcome":"invalid","error":"header_too_large"})");
    return;
  }
  if (error == http::error::body_limit) {
    this->Reject(413, R"({"outcome":"invalid","error":"too_large"})");
    return;
  }
  if (error && this->has_read_timed_out) {
    this->Reject(408, R"({"outcome":"invalid","error":"timeout"})");
    return;
  }
  if (error &&
      error.category() ==
          http::make_error_code(http::error::bad_method).category() &&
      error != http::error::end_of_stream &&
      error != http::error::partial_message) {
    this->Reject(400, kMalformedBody);
    return;
  }
  if (!error && !HasUnambiguousLength(this->parser->get())) {
    this->Reject(400, kMalformedBody);
    return;
  }
  if (error) {
    this->Close();
    return;
  }
  if (!this->stream.socket().is_open()) return;  // aborted in the meantime
  this->has_read_timed_out = false;
  const bool keep_alive = this->parser->keep_alive();
  const std::shared_ptr<Exchange> exchange = std::make_shared<Exchange>(
      this->shared_from_this(), FromBeast(this->parser->release()), keep_alive,
      std::exchange(this->is_new, false));
  this->WatchForClose(exchange);
  this->server->handler.Handle(exchange);
}

void ServerConnection::WatchForClose(
    const std::shared_ptr<Exchange>& exchange) {
  // The next request has arrived already and would hide a close.
  if (this->buffer.size() > 0) return;
  this->stream.socket().async_wait(
      tcp::socket::wait_read, [self = this->shared_from_this(),
                               exchange = std::weak_ptr<Exchange>(exchange)](
                                  const beast::error_code& error) {
        if (error || !self->stream.socket().is_open()) return;
        beast::error_code peek_error;
        char byte = 0;
        const std::size_t peeked = self->stream.socket().receive(
            asio::buffer(&byte, 1), tcp::socket::message_peek, peek_error);
        if (!peek_error && peeked > 0) return;
        const std::shared_ptr<Exchange> open = exchange.lock();
        if (open == nullptr) return;
        if (peek_error == asio::error::would_block) {
          self->WatchForClose(open);
        } else {
          open->NotifyClosed();
        }
      });
}

void ServerConnection::WriteNow(const protocol::HttpResponse& response,
                                bool keep_alive) {
  beast::error_code ignored;
  this->stream.socket().cancel(ignored);  // ends the wait for a close
  keep_alive = keep_alive && !response.closes_connection &&
               !this->server->is_shut_down && this->server->allows_keep_alive;
  this->response = ToBeast(response, keep_alive);
  this->stream.expires_after(this->server->Limits().write_timeout);
  http::async_write(this->stream, this->response,
                    [self = this->shared_from_this(), keep_alive](
                        const beast::error_code& error, std::size_t /*bytes*/) {
                      if (!error && self->is_rejected) {
                        self->DiscardUntilClosed();
                      } else if (error || !keep_alive) {
                        self->Close();
                      } else {
                        self->ReadNext();
                      }
                    });
}

void ServerConnection::Reject(unsigned status, const char* error) {
  this->is_rejected = true;
  this->WriteNow({status, error}, false);
}

// Closing with unread input would reset the connection, and the caller might
// lose the response.
void ServerConnection::DiscardUntilClosed() {
  beast::error_code ignored;
  this->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
  this->stream.expires_after(this->server->Limits().linger);
  this->DiscardNext();
}

void ServerConnection::DiscardNext() {
  constexpr std::size_t kDiscardBytes = 16u << 10;
  this->buffer.clear();
  this->stream.async_read_some(
      this->buffer.prepare(kDiscardBytes),
      [self = this->shared_from_this()](const beast::error_code& error,
                                        std::size_t /*bytes*/) {
        if (error) {
          self->Close();
        } else {
          self->DiscardNext();
        }
      });
}

void ServerConnection::Close() {
  this->timer.cancel();
  beast::error_code ignored;
  this->stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
  this->stream.socket().close(ignored);
  const std::lock_guard<std::mutex> lock(this->server->mutex);
  this->server->connections.erase(this->shared_from_this());
}

}  // namespace banyanknot::transport::internal
