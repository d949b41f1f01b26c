#ifndef BANYANKNOT_SRC_TRANSPORT_HTTP_CONVERT_H_
#define BANYANKNOT_SRC_TRANSPORT_HTTP_CONVERT_H_

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <string>

#include "banyanknot/protocol/http_message.h"

namespace banyanknot::transport::internal {

/// \brief Converts a Beast request.
protocol::HttpRequest FromBeast(
    boost::beast::http::request<boost::beast::http::string_body> request);

/// \brief Converts the head of a Beast response; the body is left empty.
protocol::HttpResponse FromBeast(
    const boost::beast::http::response_header<>& head);

/// \brief Converts a request to Beast. One without headers gets Host (`host`)
/// and the content type application/json.
/// \returns nothing for a request that Beast refuses to write
std::optional<boost::beast::http::request<boost::beast::http::string_body>>
ToBeast(protocol::HttpRequest request, const std::string& host);

/// \brief Converts a response to Beast; Retry-After is rounded up to seconds.
/// \returns nothing for a response that Beast refuses to write
std::optional<boost::beast::http::response<boost::beast::http::string_body>>
ToBeast(protocol::HttpResponse response, bool keep_alive);

}  // namespace banyanknot::transport::internal

#endif  // BANYANKNOT_SRC_TRANSPORT_HTTP_CONVERT_H_
