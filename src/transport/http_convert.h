#ifndef BANYANKNOT_SRC_TRANSPORT_HTTP_CONVERT_H_
#define BANYANKNOT_SRC_TRANSPORT_HTTP_CONVERT_H_

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "banyanknot/protocol/http_message.h"

namespace banyanknot::transport::internal {

/// \brief Takes a request over from Beast.
protocol::HttpRequest FromBeast(
    boost::beast::http::request<boost::beast::http::string_body> request);

/// \brief Takes a response over from Beast.
protocol::HttpResponse FromBeast(
    boost::beast::http::response<boost::beast::http::string_body> response);

/// \brief Hands a request to Beast.
boost::beast::http::request<boost::beast::http::string_body> ToBeast(
    protocol::HttpRequest request, const std::string& host);

/// \brief Hands a response to Beast.
boost::beast::http::response<boost::beast::http::string_body> ToBeast(
    protocol::HttpResponse response, bool keep_alive);

}  // namespace banyanknot::transport::internal

#endif  // BANYANKNOT_SRC_TRANSPORT_HTTP_CONVERT_H_
