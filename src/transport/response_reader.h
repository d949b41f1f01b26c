#ifndef BANYANKNOT_SRC_TRANSPORT_RESPONSE_READER_H_
#define BANYANKNOT_SRC_TRANSPORT_RESPONSE_READER_H_

#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "banyanknot/protocol/http_message.h"
#include "banyanknot/transport/receive_budget.h"

namespace banyanknot::transport::internal {

/// \brief Reads the final responses that arrive on one connection.
///
/// Interim responses are discarded. Whatever can't be the head of a final
/// response is an error as soon as it has arrived. Not thread-safe: belongs to
/// the connection's strand.
class ResponseReader {
 public:
  using Handler = std::function<void(const boost::beast::error_code&)>;

  /// \param stream outlives the reader
  /// \param budget for unfinished responses; null for no limit
  ResponseReader(boost::beast::tcp_stream& stream,
                 std::shared_ptr<ReceiveBudget> budget);

  /// \brief Reads the next final response.
  /// \param has_body false in response to a HEAD request
  /// \param handler called exactly once, possibly before Read() returns; keeps
  ///     the reader alive. On an error the connection is unusable.
  /// \pre no other Read() is under way
  void Read(std::size_t max_body_bytes, bool has_body, Handler handler);

  /// \brief Returns the response read last.
  /// \pre Read() succeeded
  protocol::HttpResponse TakeResponse();

  /// \brief Tells whether the server keeps the connection open after the
  /// response read last.
  bool IsKeptAlive() const { return this->parser->keep_alive(); }

  /// \brief Tells whether bytes after the response have arrived.
  bool HasMoreBytes() const { return this->buffer.size() > 0; }

  /// \brief Tells whether the body of the response read last holds the head of
  /// another response, of which the bytes that arrived so far satisfy
  /// `is_answer`.
  /// \param is_answer gets the fields, without status and body
  bool HoldsAnswer(const std::function<bool(const protocol::HttpResponse&)>&
                       is_answer) const;

  /// \brief Releases the share of the receive budget.
  void ReleaseBudget() { this->reservation.Clear(); }

 private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  void StartParser();
  void Parse(Handler handler);
  boost::beast::error_code ParseNext();
  std::string_view BufferedBytes() const;
  boost::beast::error_code TakeHead();
  boost::beast::error_code CheckLimits();
  void ReadMore(Handler handler);
  void OnBytes(const boost::beast::error_code& error, std::size_t bytes,
               Handler handler);
  boost::beast::error_code EndStream();

  boost::beast::tcp_stream& stream;
  boost::beast::flat_buffer buffer;
  std::optional<Parser> parser;
  protocol::HttpResponse response;  // its head; the body is in the parser
  std::size_t max_body_bytes = 0;
  bool has_body = true;
  unsigned interim_heads = 0;      // before the current response
  std::size_t received_bytes = 0;  // of the current response, on the wire
  ReceiveReservation reservation;
};

}  // namespace banyanknot::transport::internal

#endif  // BANYANKNOT_SRC_TRANSPORT_RESPONSE_READER_H_
