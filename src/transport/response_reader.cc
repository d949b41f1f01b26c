#include "transport/response_reader.h"

#include <algorithm>
#include <boost/asio/error.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>
#include <string>
#include <string_view>
#include <utility>

#include "transport/http_convert.h"
#include "transport/message_head.h"

namespace banyanknot::transport::internal {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

/// Version and status, with the blank between them.
constexpr std::size_t kStatusLineBytes = 12;
/// Several times the size of the header that servers send.
constexpr std::uint32_t kMaxHeaderBytes = 64u << 10;
/// Of unparsed input: a whole header, and the rest of a read after it. Also
/// bounds chunk extensions, which have no limit of their own.
constexpr std::size_t kMaxBufferedBytes = 80u << 10;
constexpr std::size_t kMaxReadBytes = 64u << 10;
/// Bytes received for each byte of a body at its limit, in chunks with
/// extensions.
constexpr std::size_t kMaxEncodingFactor = 2;
/// Interim (1xx) heads before a response.
constexpr unsigned kMaxInterimHeads = 8;

bool IsInterim(const http::response_header<>& head) {
  return http::to_status_class(head.result_int()) ==
             http::status_class::informational &&
         head.result() != http::status::switching_protocols;
}

/// Beast accepts any three digits as a status.
bool IsFinal(const http::response_header<>& head) {
  constexpr unsigned kFirstFinalStatus = 200;
  constexpr unsigned kLastStatus = 599;
  return head.result_int() >= kFirstFinalStatus &&
         head.result_int() <= kLastStatus;
}

/// Tells whether the head of one response broke off and the next response was
/// read as the rest of it.
bool IsTwoHeads(const http::response_header<>& head) {
  const auto holds_status_line = [](beast::string_view text) {
    return FindStatusLine({text.data(), text.size()}) != std::string_view::npos;
  };
  return holds_status_line(head.reason()) ||
         std::any_of(head.begin(), head.end(),
                     [&](const http::fields::value_type& field) {
                       return holds_status_line(field.value());
                     });
}

/// Reads the fields of a head as far as they have arrived.
protocol::HttpResponse ReadHead(std::string_view text) {
  http::response_parser<http::empty_body> parser;
  parser.header_limit(kMaxHeaderBytes);
  beast::error_code ignored;  // the fields before the error count
  parser.put(asio::buffer(text), ignored);
  return FromBeast(parser.get().base());
}

}  // namespace

ResponseReader::ResponseReader(beast::tcp_stream& stream,
                               std::shared_ptr<ReceiveBudget> budget)
    : stream(stream),
      buffer(kMaxBufferedBytes),
      reservation(std::move(budget)) {}

void ResponseReader::Read(std::size_t max_body_bytes, bool has_body,
                          Handler handler) {
  this->max_body_bytes = max_body_bytes;
  this->has_body = has_body;
  this->interim_heads = 0;
  this->received_bytes = 0;
  this->StartParser();
  this->Parse(std::move(handler));
}

protocol::HttpResponse ResponseReader::TakeResponse() {
  this->response.body = std::move(this->parser->get().body());
  return std::move(this->response);
}

bool ResponseReader::HoldsAnswer(
    const std::function<bool(const protocol::HttpResponse&)>& is_answer) const {
  const std::string_view body = this->parser->get().body();
  const std::string_view after = this->BufferedBytes();
  std::size_t from = FindStatusLine(body);
  if (from == std::string_view::npos) {
    if (after.empty()) return false;
    // One that begins in the last bytes goes on in those after the body.
    from = body.size() - std::min(body.size(), kStatusLineBytes - 1);
  }
  const std::string text = std::string(body.substr(from)).append(after);
  const std::size_t body_end = body.size() - from;
  // Each head ends where the next one begins, so that no byte is read twice.
  std::size_t at = FindStatusLine(text);
  while (at < body_end) {
    const std::size_t next = FindStatusLine(text, at + 1);
    const std::size_t bytes = std::min<std::size_t>(next - at, kMaxHeaderBytes);
    if (is_answer(ReadHead(std::string_view(text).substr(at, bytes)))) {
      return true;
    }
    at = next;
  }
  return false;
}

void ResponseReader::StartParser() {
  this->parser.emplace();
  this->parser->body_limit(this->max_body_bytes);
  this->parser->header_limit(kMaxHeaderBytes);
  this->parser->skip(!this->has_body);
}

void ResponseReader::Parse(Handler handler) {
  while (this->buffer.size() > 0) {
    const beast::error_code error = this->ParseNext();
    if (error == http::error::need_more) break;
    if (error || this->parser->is_done()) {
      handler(error);
      return;
    }
  }
  this->ReadMore(std::move(handler));
}

/// Parses a head or what has arrived of a body.
/// \returns need_more if too little has arrived
beast::error_code ResponseReader::ParseNext() {
  const bool had_head = this->parser->is_header_done();
  // The parser would join a folded field and the line before it.
  if (!had_head && HasFoldedField(this->BufferedBytes())) {
    return http::make_error_code(http::error::bad_field);
  }
  beast::error_code error;
  this->buffer.consume(this->parser->put(this->buffer.data(), error));
  if (!error && !had_head) error = this->TakeHead();
  if (!error || error == http::error::need_more) {
    const beast::error_code exceeded = this->CheckLimits();
    if (exceeded) return exceeded;
  }
  return error;
}

std::string_view ResponseReader::BufferedBytes() const {
  const boost::asio::const_buffer bytes = this->buffer.data();
  return {static_cast<const char*>(bytes.data()), bytes.size()};
}

/// Discards the head of an interim response, and keeps that of a final one.
beast::error_code ResponseReader::TakeHead() {
  const http::response_header<>& head = this->parser->get();
  if (IsTwoHeads(head)) return http::make_error_code(http::error::bad_value);
  if (IsInterim(head)) {
    if (++this->interim_heads > kMaxInterimHeads) {
      return http::make_error_code(http::error::header_limit);
    }
    this->StartParser();
    return {};
  }
  // A request never asks for another protocol, so a switch is no response to
  // it.
  if (!IsFinal(head)) return http::make_error_code(http::error::bad_status);
  if (!HasUnambiguousLength(head)) {
    return http::make_error_code(http::error::bad_transfer_encoding);
  }
  const bool announces_body =
      this->parser->chunked() || this->parser->content_length().value_or(0) > 0;
  if (head.result() == http::status::no_content && announces_body) {
    return http::make_error_code(http::error::bad_content_length);
  }
  // The parser adds the fields of a trailer to those of the head.
  this->response = FromBeast(head);
  return {};
}

beast::error_code ResponseReader::CheckLimits() {
  const std::size_t max_received =
      kMaxEncodingFactor * this->max_body_bytes + kMaxBufferedBytes;
  const std::size_t held =
      this->parser->get().body().size() + this->buffer.size();
  if (this->received_bytes > max_received ||
      !this->reservation.TryGrowTo(held)) {
    return http::make_error_code(http::error::body_limit);
  }
  return {};
}

void ResponseReader::ReadMore(Handler handler) {
  const std::size_t size = beast::read_size(this->buffer, kMaxReadBytes);
  if (size == 0) {
    handler(http::make_error_code(http::error::buffer_overflow));
    return;
  }
  this->stream.async_read_some(
      this->buffer.prepare(size),
      [this, handler = std::move(handler)](const beast::error_code& error,
                                           std::size_t bytes) mutable {
        this->OnBytes(error, bytes, std::move(handler));
      });
}

void ResponseReader::OnBytes(const beast::error_code& error, std::size_t bytes,
                             Handler handler) {
  if (error) {
    handler(error == asio::error::eof ? this->EndStream() : error);
    return;
  }
  this->buffer.commit(bytes);
  this->received_bytes += bytes;
  // The connection may have been closed after these bytes arrived.
  if (!this->stream.socket().is_open()) {
    handler(asio::error::operation_aborted);
    return;
  }
  this->Parse(std::move(handler));
}

/// Completes a response whose body ends with the connection.
beast::error_code ResponseReader::EndStream() {
  if (!this->parser->got_some()) {
    return http::make_error_code(http::error::end_of_stream);
  }
  beast::error_code error;
  this->parser->put_eof(error);
  return error;
}

}  // namespace banyanknot::transport::internal
