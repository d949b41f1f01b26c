#include "transport/server_connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/post.hpp>
#include <optional>
#include <stdexcept>
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

/// Most of a body that is read at once; what arrives is parsed in place.
constexpr std::size_t kReadBytes = 4096;
/// What a connection holds beside its buffers: the parser and its fields.
constexpr std::size_t kParserBytes = 2u << 10;
/// A request that runs exists up to this often: as received, as decoded and as
/// it is being sent.
constexpr std::size_t kRequestCopies = 3;
/// A larger read buffer isn't kept between requests.
constexpr std::size_t kMaxKeptBufferBytes = 8u << 10;
/// After a refusal for memory.
constexpr state::Duration kNoRoomRetryAfter = state::Milliseconds(1'000);

/// HTTP forbids content in a TRACE request; a server that takes none would read
/// it as the next request.
bool HasForbiddenContent(const http::request<http::string_body>& request) {
  return request.method() == http::verb::trace && !request.body().empty();
}

}  // namespace

class ServerConnection::Exchange : public HttpExchange {
 public:
  Exchange(std::shared_ptr<ServerConnection> connection,
           protocol::HttpRequest request,
           std::unique_ptr<coordination::MemoryHold> hold, bool keep_alive,
           bool is_first)
      : connection(std::move(connection)),
        request(std::move(request)),
        hold(std::move(hold)),
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
  const std::unique_ptr<coordination::MemoryHold> hold;  // of the request
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
  if (this->is_displaced) {
    this->Close();
    return;
  }
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
  this->SetWaiting(true);
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
  if (this->gives_way) {
    this->RejectForRoom();
    return;
  }
  if (!this->WaitingSince()) this->SetWaiting(true);
  this->stream.async_read_some(
      this->buffer.prepare(kReadBytes),
      [self = this->shared_from_this(), then](const beast::error_code& error,
                                              std::size_t bytes) {
        if (error) {
          self->OnRead(error);
          return;
        }
        self->buffer.commit(bytes);
        if (self->has_read_timed_out) {
          self->OnRead(asio::error::operation_aborted);
          return;
        }
        ((*self).*then)();
      });
}

void ServerConnection::BeginRequest() {
  this->is_busy = true;
  this->gives_way = false;
  // The time counts from the request's first byte, however slowly others come.
  this->SetWaiting(true);
  this->OpenHold();
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
      if (this->TryHoldRequest()) this->ReadSome(&ServerConnection::ReadHead);
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
  this->parser->eager(true);
  this->ParseMore();
}

// Parses what has arrived. Only the bytes of one chunk header or trailer stay
// in the buffer, and these may not be longer than a head.
void ServerConnection::ParseMore() {
  beast::error_code error;
  while (!error && !this->parser->is_done() && this->buffer.size() > 0) {
    try {
      this->buffer.consume(this->parser->put(this->buffer.data(), error));
    } catch (const std::length_error&) {  // thrown for a field over 64 KiB
      error = http::error::header_limit;
    }
  }
  if (error && error != http::error::need_more) {
    this->OnRead(error);
  } else if (this->parser->is_done()) {
    this->OnRead({});
  } else if (this->buffer.size() > this->server->Limits().max_header_bytes) {
    this->OnRead(http::error::header_limit);
  } else if (this->TryHoldRequest()) {
    this->ReadSome(&ServerConnection::ParseMore);
  }
}

/// Accounts for what the unfinished request holds; refuses it without room.
bool ServerConnection::TryHoldRequest() {
  std::size_t bytes = this->buffer.capacity() + kParserBytes;
  if (this->parser) {
    const std::string& body = this->parser->get().body();
    // The capacity is reserved ahead for a body of known length.
    bytes += std::min(body.capacity(), 2 * body.size());
  }
  if (this->hold->TryHold(bytes, true)) return true;
  this->RejectForRoom();
  return false;
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
  if (error && this->gives_way) {
    this->RejectForRoom();
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
  if (!error && (!HasUnambiguousLength(this->parser->get()) ||
                 HasForbiddenContent(this->parser->get()))) {
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
  const std::size_t body_bytes = this->parser->get().body().size();
  ++this->hold_number;  // the request runs, and gives way no longer
  if (!this->hold->TryHold(
          kRequestCopies * (body_bytes + kParserBytes) + kParserBytes, false)) {
    this->RejectForRoom();
    return;
  }
  this->SetWaiting(false);
  protocol::HttpRequest request = FromBeast(this->parser->release());
  this->parser.reset();
  if (this->buffer.capacity() > kMaxKeptBufferBytes) {
    this->buffer.shrink_to_fit();
  }
  const std::shared_ptr<Exchange> exchange = std::make_shared<Exchange>(
      this->shared_from_this(), std::move(request), std::move(this->hold),
      keep_alive, std::exchange(this->is_new, false));
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

void ServerConnection::WriteNow(protocol::HttpResponse answer,
                                bool keep_alive) {
  beast::error_code ignored;
  this->stream.socket().cancel(ignored);  // ends the wait for a close
  this->SetWaiting(false);
  this->is_writing = true;
  this->keeps_alive = keep_alive && !answer.closes_connection &&
                      !this->server->is_shut_down &&
                      this->server->allows_keep_alive;
  this->response = ToBeast(std::move(answer), this->keeps_alive);
  if (!this->response) {
    this->Close();
    return;
  }
  this->OpenHold();
  this->hold->Hold(this->response->body().size() + kParserBytes, true);
  this->serializer.emplace(*this->response);
  this->stream.expires_after(this->server->Limits().write_timeout);
  this->WriteMore();
}

void ServerConnection::WriteMore() {
  http::async_write_some(
      this->stream, *this->serializer,
      [self = this->shared_from_this()](const beast::error_code& error,
                                        std::size_t /*bytes*/) {
        if (error) {
          self->Close();
        } else if (self->serializer->is_done()) {
          self->OnWritten();
        } else {
          // The caller takes its response: progress.
          self->hold->Hold(self->response->body().size() + kParserBytes, true);
          self->WriteMore();
        }
      });
}

void ServerConnection::OnWritten() {
  this->is_writing = false;
  this->serializer.reset();
  this->response.reset();
  this->hold.reset();
  if (this->is_rejected) {
    this->DiscardUntilClosed();
  } else if (!this->keeps_alive) {
    this->Close();
  } else {
    this->ReadNext();
  }
}

void ServerConnection::Reject(unsigned status, const char* error) {
  this->is_rejected = true;
  this->ReleaseMemory();
  this->WriteNow({status, error}, false);
}

/// Refuses an unfinished request, which has not run and never will.
void ServerConnection::RejectForRoom() {
  this->timer.cancel();
  this->is_rejected = true;
  this->ReleaseMemory();
  protocol::HttpResponse refusal{
      503, R"({"outcome":"not_run","error":"no_memory"})"};
  refusal.retry_after = kNoRoomRetryAfter;
  this->WriteNow(std::move(refusal), false);
}

void ServerConnection::ReleaseMemory() {
  this->parser.reset();
  this->buffer.consume(this->buffer.size());
  this->buffer.shrink_to_fit();
  this->hold.reset();
}

void ServerConnection::OpenHold() {
  const std::uint64_t number = ++this->hold_number;
  this->hold = std::make_unique<coordination::MemoryHold>(
      this->server->memory, [connection = this->weak_from_this(), number] {
        const std::shared_ptr<ServerConnection> self = connection.lock();
        if (self != nullptr) self->GiveWay(number);
      });
}

void ServerConnection::GiveWayNow() {
  if (!this->stream.socket().is_open()) return;
  const bool is_waiting = this->WaitingSince().has_value();
  if (this->is_writing || !this->is_busy ||
      (this->is_displaced && is_waiting)) {
    this->Close();
  } else if (is_waiting && !this->is_rejected) {
    this->gives_way = true;
    beast::error_code ignored;
    this->stream.socket().cancel(ignored);  // ends the read
  }
}

void ServerConnection::SetWaiting(bool is_waiting) {
  this->waiting_since =
      is_waiting ? std::chrono::steady_clock::now() : kNotWaiting;
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
  constexpr std::size_t kDiscardBytes = 2u << 10;
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
  this->SetWaiting(false);
  beast::error_code ignored;
  this->stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
  this->stream.socket().close(ignored);
  const std::lock_guard<std::mutex> lock(this->server->mutex);
  const bool was_open =
      this->server->connections.erase(this->shared_from_this()) > 0;
  if (was_open && this->is_displaced) --this->server->displacing;
}

}  // namespace banyanknot::transport::internal
