#ifndef BANYANKNOT_TEST_PLATFORM_EDGE_RAW_CALLER_H_
#define BANYANKNOT_TEST_PLATFORM_EDGE_RAW_CALLER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <string>

#include "banyanknot/state/endpoint.h"

namespace banyanknot::platform::edge_testing {

/// \brief A caller that writes arbitrary bytes on a connection of its own.
///
/// Not thread-safe. Reads block for up to 10 s.
class RawCaller {
 public:
  using Response =
      boost::beast::http::response<boost::beast::http::string_body>;

  explicit RawCaller(const state::Endpoint& endpoint);

  void Write(const std::string& bytes);
  /// \returns nothing if the connection closes or the read times out
  std::optional<Response> Read();
  /// \brief Tells whether the peer closes the connection before the timeout.
  bool IsClosedByPeer();
  void Close();

  /// \brief Writes a request and reads its response.
  std::optional<Response> Call(const std::string& target,
                               const std::string& request_id,
                               const std::string& method = "GET",
                               const std::string& body = "");
  /// \brief As Call(), with headers of the caller's own, each ended by CR LF.
  std::optional<Response> CallWith(const std::string& headers,
                                   const std::string& target,
                                   const std::string& request_id);

  /// \brief Returns a request with the headers that the platform's callers
  /// send.
  static std::string Request(const std::string& target,
                             const std::string& request_id,
                             const std::string& method = "GET",
                             const std::string& body = "");

 private:
  boost::asio::io_context context;
  boost::asio::ip::tcp::socket socket{context};
  boost::beast::flat_buffer buffer;
};

/// \brief Returns the status of a response; 0 if there is none.
inline unsigned StatusOf(const std::optional<RawCaller::Response>& response) {
  return response ? response->result_int() : 0;
}

}  // namespace banyanknot::platform::edge_testing

#endif  // BANYANKNOT_TEST_PLATFORM_EDGE_RAW_CALLER_H_
