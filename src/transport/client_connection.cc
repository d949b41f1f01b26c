#include "transport/client_connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <charconv>
#include <optional>
#include <string_view>
#include <utility>

#include "banyanknot/protocol/hop_headers.h"
#include "transport/connect_from.h"
#include "transport/http_convert.h"

namespace banyanknot::transport::internal {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr std::size_t kMaxCheckResponseBytes = 1u << 20;
/// Responses to other calls that are discarded before one is given up.
constexpr unsigned kMaxMisplacedResponses = 8;
/// Longer announced idle timeouts count as this one.
constexpr std::int64_t kMaxKeepAliveSeconds = 3'600;
constexpr int kUserTimeoutMilliseconds = 2'000;
constexpr int kKeepAliveIdleSeconds = 10;
constexpr int kKeepAliveIntervalSeconds = 2;
constexpr int kKeepAliveProbes = 2;

/// Subtracted from the server's idle timeout: a request in flight while the
/// server closes the connection is lost.
constexpr state::Duration kIdleTimeoutMargin = state::Milliseconds(1'500);

/// Parses `Keep-Alive: timeout=SECONDS` and subtracts the margin.
/// \returns nothing if the header has no readable timeout
std::optional<state::Duration> ParseKeepAliveTimeout(
    const protocol::HttpResponse& response) {
  constexpr std::string_view kTimeout = "timeout=";
  constexpr std::int64_t kMillisecondsPerSecond = 1'000;
  const std::string_view text =
      protocol::HeaderValue(response.headers, "Keep-Alive");
  const std::size_t at = text.find(kTimeout);
  if (at == std::string_view::npos) return std::nullopt;
  std::int64_t seconds = 0;
  const std::from_chars_result parsed = std::from_chars(
      text.data() + at + kTimeout.size(), text.data() + text.size(), seconds);
  if (parsed.ec != std::errc()) return std::nullopt;
  seconds = std::clamp<std::int64_t>(seconds, 0, kMaxKeepAliveSeconds);
  return std::max(state::Milliseconds(seconds * kMillisecondsPerSecond) -
                      kIdleTimeoutMargin,
                  state::Duration(0));
}

/// Tells whether the bytes of a response are at fault, not their end or number.
bool IsMalformed(const beast::error_code& error) {
  return error.category() ==
             http::make_error_code(http::error::bad_status).category() &&
         error != http::error::end_of_stream &&
         error != http::error::partial_message &&
         error != http::error::body_limit &&
         error != http::error::header_limit &&
         error != http::error::buffer_overflow;
}

TransportError ReadErrorOf(const beast::error_code& error) {
  if (error == beast::error::timeout || error == asio::error::timed_out) {
    return TransportError::kTimeout;
  }
  const bool is_too_large = error == http::error::body_limit ||
                            error == http::error::header_limit ||
                            error == http::error::buffer_overflow;
  return is_too_large ? TransportError::kTooLarge : TransportError::kLost;
}

template <int kName>
void SetTcpOption(tcp::socket& socket, int value) {
  beast::error_code ignored;
  socket.set_option(
      asio::detail::socket_option::integer<IPPROTO_TCP, kName>(value), ignored);
}

}  // namespace

ClientConnection::ClientConnection(std::shared_ptr<PoolCore> pool)
    : pool(std::move(pool)),
      stream(asio::make_strand(this->pool->context)),
      timer(this->stream.get_executor()),
      reader(this->stream, this->pool->options.receive_budget) {}

bool ClientConnection::IsRecentlyActive(state::TimePoint now) const {
  return this->pool->options.check_target.empty() ||
         now - this->LastReplyAt() <=
             this->pool->options.check_after_inactivity;
}

void ClientConnection::StartCall(std::shared_ptr<PendingCall> pending) {
  asio::post(this->stream.get_executor(),
             [self = this->shared_from_this(),
              pending = std::move(pending)]() mutable {
               self->BeginCall(std::move(pending));
             });
}

void ClientConnection::CancelCall(const std::shared_ptr<PendingCall>& pending) {
  asio::post(this->stream.get_executor(),
             [self = this->shared_from_this(), pending] {
               if (self->current == pending) {
                 self->FailCall(TransportError::kLost);
               }
             });
}

void ClientConnection::BeginCall(std::shared_ptr<PendingCall> pending) {
  this->current = std::move(pending);
  this->current->SetConnection(this->shared_from_this());
  if (this->is_closed) {
    this->Reassign();
    return;
  }
  if (!this->is_connected) {
    this->Connect();
    return;
  }
  if (this->pool->options.watches_idle) {
    beast::error_code ignored;
    this->stream.socket().cancel(ignored);  // ends the idle watch
  }
  this->CheckOrWrite();
}

void ClientConnection::Check() {
  asio::post(this->stream.get_executor(), [self = this->shared_from_this()] {
    if (self->is_closed) return;
    beast::error_code ignored;
    self->stream.socket().cancel(ignored);
    self->WriteCheck();
  });
}

void ClientConnection::Close() {
  asio::post(this->stream.get_executor(),
             [self = this->shared_from_this()] { self->CloseNow(); });
}

void ClientConnection::Connect() {
  beast::error_code error;
  const asio::ip::address address =
      asio::ip::make_address(this->pool->endpoint.address, error);
  if (error) {
    this->FailCall(TransportError::kResolve);
    return;
  }
  const tcp::endpoint endpoint(address, this->pool->endpoint.port);
  OpenBoundSocket(this->pool->options.connect_from, endpoint.protocol(),
                  this->stream.socket(), error);
  if (error) {
    this->FailCall(TransportError::kConnect);
    return;
  }
  if (this->pool->options.receive_buffer_bytes > 0) {
    this->stream.socket().set_option(
        asio::socket_base::receive_buffer_size(
            this->pool->options.receive_buffer_bytes),
        error);
    if (error) error.clear();  // the system's default is as correct
  }
  this->stream.expires_at(this->current->call.send_before);
  this->stream.async_connect(
      endpoint, [self = this->shared_from_this()](
                    const beast::error_code& connect_error) {
        if (connect_error) {
          self->FailCall(self->ConnectError(connect_error));
        } else {
          self->OnConnected();
        }
      });
}

TransportError ClientConnection::ConnectError(
    const beast::error_code& error) const {
  // A server with other open connections is assumed to refuse because of its
  // connection limit.
  const bool is_refused = error == asio::error::connection_refused ||
                          error == asio::error::connection_reset;
  return is_refused && this->pool->HasOtherConnections()
             ? TransportError::kLimit
             : TransportError::kConnect;
}

void ClientConnection::OnConnected() {
  this->is_connected = true;
  this->SetSocketOptions();
  if (this->IsClosedByServer()) {
    this->FailCall(TransportError::kLimit);
    return;
  }
  // An idempotent call needs no check after a successful connect; any other
  // waits for a reply to a check.
  if (this->current->call.is_idempotent) {
    this->last_reply_at = this->pool->clock.Now().time_since_epoch().count();
  }
  this->CheckOrWrite();
}

void ClientConnection::SetSocketOptions() {
  tcp::socket& socket = this->stream.socket();
  beast::error_code ignored;
  socket.non_blocking(true, ignored);  // the peek for a close must not block
  socket.set_option(tcp::no_delay(true), ignored);
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  SetTcpOption<TCP_USER_TIMEOUT>(socket, kUserTimeoutMilliseconds);
  SetTcpOption<TCP_KEEPIDLE>(socket, kKeepAliveIdleSeconds);
  SetTcpOption<TCP_KEEPINTVL>(socket, kKeepAliveIntervalSeconds);
  SetTcpOption<TCP_KEEPCNT>(socket, kKeepAliveProbes);
}

bool ClientConnection::IsClosedByServer() {
  tcp::socket& socket = this->stream.socket();
  beast::error_code error;
  char byte = 0;
  socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  // Unsolicited bytes count as a close.
  return error != asio::error::would_block;
}

void ClientConnection::CheckOrWrite() {
  if (this->IsClosedByServer()) {
    this->CloseNow();
    this->Reassign();
    return;
  }
  if (this->IsRecentlyActive(this->pool->clock.Now())) {
    this->Write();
  } else {
    this->WriteCheck();
  }
}

void ClientConnection::WriteCheck() {
  if (!this->Prepare({"GET", this->pool->options.check_target, ""})) {
    this->OnChecked(http::error::bad_target);
    return;
  }
  this->stream.expires_after(this->pool->options.check_timeout);
  http::async_write(
      this->stream, *this->request,
      [self = this->shared_from_this()](const beast::error_code& error,
                                        std::size_t /*bytes*/) {
        if (error) {
          self->OnChecked(error);
          return;
        }
        self->ReadResponse([self](const beast::error_code& read_error) {
          self->OnChecked(read_error);
        });
      });
}

void ClientConnection::OnChecked(const beast::error_code& error) {
  // Bytes after the response would be read as that to the next call.
  if (error || !this->reader.IsKeptAlive() || this->reader.HasMoreBytes()) {
    this->CloseNow();
    if (this->current != nullptr) this->Reassign();
    return;
  }
  this->last_reply_at = this->pool->clock.Now().time_since_epoch().count();
  if (this->current != nullptr) {
    this->Write();
  } else {
    this->ReturnToPool();
  }
}

/// Returns an unsent call to the pool, or fails it with kExpired if it was
/// cancelled or may no longer be sent.
void ClientConnection::Reassign() {
  const std::shared_ptr<PendingCall> unsent = std::move(this->current);
  if (unsent->is_cancelled ||
      this->pool->clock.Now() >= unsent->call.send_before) {
    unsent->handler(TransportError::kExpired);
  } else {
    this->pool->Call(unsent);
  }
}

bool ClientConnection::Prepare(protocol::HttpRequest next) {
  this->request = ToBeast(std::move(next), ToText(this->pool->endpoint));
  return this->request.has_value();
}

void ClientConnection::Write() {
  if (this->current->is_cancelled ||
      this->pool->clock.Now() >= this->current->call.send_before) {
    // No byte was written, so the connection can be reused.
    const std::shared_ptr<PendingCall> expired = std::move(this->current);
    this->ReturnToPool();
    expired->handler(TransportError::kExpired);
    return;
  }
  const bool is_allowed =
      !this->current->call.may_write || this->current->call.may_write();
  if (!is_allowed || !this->Prepare(std::move(this->current->call.request))) {
    const std::shared_ptr<PendingCall> withdrawn = std::move(this->current);
    this->ReturnToPool();
    withdrawn->handler(TransportError::kWithdrawn);
    return;
  }
  this->stream.expires_never();
  this->written_at = this->pool->clock.Now();
  this->is_written = true;
  this->ArmTimer(
      std::min(this->current->call.deadline,
               this->written_at + this->pool->options.silence_timeout));
  http::async_write(this->stream, *this->request,
                    [self = this->shared_from_this()](
                        const beast::error_code& error, std::size_t /*bytes*/) {
                      if (error) {
                        self->OnRead(error);
                      } else {
                        self->Read();
                      }
                    });
}

void ClientConnection::ArmTimer(state::TimePoint when) {
  if (this->timer_at && *this->timer_at <= when) return;
  this->timer_at = when;
  this->timer.expires_at(when);
  this->timer.async_wait(
      [self = this->shared_from_this()](const beast::error_code& error) {
        if (!error) self->OnTimer();
      });
}

void ClientConnection::OnTimer() {
  this->timer_at.reset();
  if (this->is_closed) return;
  const state::TimePoint now = this->pool->clock.Now();
  if (this->current != nullptr) {
    if (this->is_written) this->CheckCallTimeouts(now);
  } else {
    this->CheckIdleTimeout(now);
  }
}

void ClientConnection::CheckCallTimeouts(state::TimePoint now) {
  if (now >= this->current->call.deadline) {
    this->FailCall(TransportError::kTimeout);
    return;
  }
  const state::TimePoint silent_at =
      this->written_at + this->pool->options.silence_timeout;
  if (now >= silent_at) {
    if (!this->is_silent) {
      this->is_silent = this->pool->TryReleaseSlot(this->written_at);
    }
    this->ArmTimer(this->current->call.deadline);
  } else {
    this->ArmTimer(std::min(this->current->call.deadline, silent_at));
  }
}

void ClientConnection::CheckIdleTimeout(state::TimePoint now) {
  const state::TimePoint idle_until =
      this->LastReplyAt() + this->IdleLifetime();
  if (now < idle_until) {
    this->ArmTimer(idle_until);
  } else if (this->pool->RemoveIdle(this->shared_from_this())) {
    this->CloseNow();
  }
}

void ClientConnection::Read() {
  this->misplaced_responses = 0;
  this->ReadAnswer();
}

void ClientConnection::ReadAnswer() {
  this->ReadResponse(
      [self = this->shared_from_this()](const beast::error_code& error) {
        self->OnRead(error);
      });
}

void ClientConnection::ReadResponse(ResponseReader::Handler handler) {
  const std::size_t max_body_bytes =
      this->current == nullptr ? kMaxCheckResponseBytes
                               : this->current->call.max_response_bytes;
  this->reader.Read(max_body_bytes, this->request->method() != http::verb::head,
                    [self = this->shared_from_this(),
                     handler = std::move(handler)](beast::error_code error) {
                      if (!error && self->IsSpliced()) {
                        error = http::make_error_code(http::error::bad_value);
                      }
                      self->ReportIfMalformed(error);
                      handler(error);
                    });
}

bool ClientConnection::IsSpliced() const {
  if (this->current == nullptr) return false;
  const ResponseFilter& is_answer = this->current->call.is_answer;
  return !is_answer(protocol::HttpResponse{}) &&
         this->reader.HoldsAnswer(is_answer);
}

void ClientConnection::ReportIfMalformed(const beast::error_code& error) {
  if (IsMalformed(error) && this->pool->options.on_malformed_response) {
    this->pool->options.on_malformed_response(error.message());
  }
}

void ClientConnection::OnRead(const beast::error_code& error) {
  if (this->current == nullptr) return;  // cancelled in the meantime
  if (error) {
    this->FailCall(ReadErrorOf(error));
    return;
  }
  const state::TimePoint now = this->pool->clock.Now();
  this->last_reply_at = now.time_since_epoch().count();
  this->pool->RecordReply(now);
  const bool keep_alive = this->reader.IsKeptAlive();
  protocol::HttpResponse response = this->reader.TakeResponse();
  this->reader.ReleaseBudget();
  if (!this->current->call.is_answer(response)) {
    this->OnMisplacedResponse(keep_alive);
    return;
  }
  this->advertised_idle_timeout = ParseKeepAliveTimeout(response);
  const std::shared_ptr<PendingCall> finished = std::move(this->current);
  this->is_written = false;
  if (this->is_silent && this->pool->TryReacquireSlot()) {
    this->is_silent = false;
  }
  // Extra bytes after a complete reply belong to no call, and a server that has
  // sent an extra response may send more.
  if (!keep_alive || this->is_silent || this->reader.HasMoreBytes() ||
      this->misplaced_responses > 0) {
    this->CloseNow();
  } else {
    this->ReturnToPool();
  }
  finished->handler(std::move(response));
}

void ClientConnection::OnMisplacedResponse(bool keep_alive) {
  ++this->misplaced_responses;
  if (this->pool->options.on_misplaced_response) {
    this->pool->options.on_misplaced_response();
  }
  if (!keep_alive || this->misplaced_responses > kMaxMisplacedResponses) {
    this->FailCall(TransportError::kMisplaced);
  } else {
    this->ReadAnswer();
  }
}

void ClientConnection::ReturnToPool() {
  this->request.reset();
  this->stream.expires_never();
  const std::shared_ptr<PendingCall> next =
      this->pool->OnCallFinished(this->shared_from_this());
  if (next != nullptr) {
    this->StartCall(next);
  } else {
    this->StartIdleWatch();
  }
}

void ClientConnection::WatchReadable() {
  this->stream.socket().async_wait(
      tcp::socket::wait_read,
      [self = this->shared_from_this()](const beast::error_code& error) {
        if (!error) self->OnIdleReadable();
      });
}

state::Duration ClientConnection::IdleLifetime() const {
  const state::Duration own = this->pool->IdleLifetime();
  return this->advertised_idle_timeout
             ? std::min(own, *this->advertised_idle_timeout)
             : own;
}

void ClientConnection::StartIdleWatch() {
  if (this->pool->options.watches_idle) this->WatchReadable();
  this->ArmTimer(this->pool->clock.Now() + this->IdleLifetime());
}

void ClientConnection::OnIdleReadable() {
  if (this->is_closed || this->current != nullptr) return;
  // The wait for readability may end spuriously.
  if (!this->IsClosedByServer()) {
    this->WatchReadable();
    return;
  }
  const bool was_idle = this->pool->RemoveIdle(this->shared_from_this());
  // A call already assigned to this connection finds it closed and is
  // reassigned.
  this->CloseNow();
  const state::Duration idle_for =
      this->pool->clock.Now() - this->LastReplyAt();
  if (was_idle && this->pool->options.on_closed_by_server) {
    this->pool->options.on_closed_by_server(idle_for);
  }
}

void ClientConnection::FailCall(TransportError error) {
  if (this->current == nullptr) return;  // cancelled in the meantime
  const std::shared_ptr<PendingCall> finished = std::move(this->current);
  this->CloseNow();
  finished->handler(error);
}

void ClientConnection::CloseNow() {
  if (this->is_closed) return;
  this->is_closed = true;
  this->reader.ReleaseBudget();
  beast::error_code ignored;
  this->timer.cancel();
  this->stream.socket().close(ignored);
  this->pool->OnClosed(this->is_silent);
}

}  // namespace banyanknot::transport::internal
