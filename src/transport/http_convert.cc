#include "transport/http_convert.h"

#include <boost/beast/http/field.hpp>
#include <boost/beast/http/verb.hpp>
#include <exception>
#include <string>
#include <utility>
#include <vector>

namespace banyanknot::transport::internal {
namespace {

namespace http = boost::beast::http;

constexpr int kHttp11 = 11;

std::int64_t RoundUpToSeconds(state::Duration duration) {
  constexpr std::int64_t kMillisecondsPerSecond = 1'000;
  return (state::ToMilliseconds(duration) + kMillisecondsPerSecond - 1) /
         kMillisecondsPerSecond;
}

std::vector<state::HeaderField> HeadersOf(const http::fields& fields) {
  std::vector<state::HeaderField> headers;
  for (const http::fields::value_type& field : fields) {
    headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  return headers;
}

http::request<http::string_body> Convert(protocol::HttpRequest request,
                                         const std::string& host) {
  http::request<http::string_body> converted;
  converted.version(kHttp11);
  converted.method_string(request.method);
  converted.target(request.target);
  if (request.headers.empty()) {
    converted.set(http::field::host, host);
    converted.set(http::field::content_type, "application/json");
  }
  for (const state::HeaderField& header : request.headers) {
    converted.insert(header.name, header.value);
  }
  converted.body() = std::move(request.body);
  converted.keep_alive(true);
  converted.prepare_payload();
  return converted;
}

http::response<http::string_body> Convert(protocol::HttpResponse response,
                                          bool keep_alive) {
  http::response<http::string_body> converted;
  converted.version(kHttp11);
  converted.result(response.status);
  if (!response.content_type.empty()) {
    converted.set(http::field::content_type, response.content_type);
  }
  for (const state::HeaderField& header : response.headers) {
    converted.insert(header.name, header.value);
  }
  if (response.retry_after.count() > 0) {
    converted.set(http::field::retry_after,
                  std::to_string(RoundUpToSeconds(response.retry_after)));
  }
  converted.body() = std::move(response.body);
  converted.keep_alive(keep_alive);
  converted.prepare_payload();
  return converted;
}

}  // namespace

protocol::HttpRequest FromBeast(http::request<http::string_body> request) {
  protocol::HttpRequest converted;
  converted.method = std::string(request.method_string());
  converted.target = std::string(request.target());
  converted.headers = HeadersOf(request);
  converted.body = std::move(request.body());
  return converted;
}

protocol::HttpResponse FromBeast(const http::response_header<>& head) {
  protocol::HttpResponse converted;
  converted.status = head.result_int();
  converted.content_type = std::string(head[http::field::content_type]);
  converted.headers = HeadersOf(head);
  return converted;
}

std::optional<http::request<http::string_body>> ToBeast(
    protocol::HttpRequest request, const std::string& host) {
  try {
    return Convert(std::move(request), host);
  } catch (const std::exception&) {  // the only way in which Beast says so
    return std::nullopt;
  }
}

std::optional<http::response<http::string_body>> ToBeast(
    protocol::HttpResponse response, bool keep_alive) {
  try {
    return Convert(std::move(response), keep_alive);
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace banyanknot::transport::internal
