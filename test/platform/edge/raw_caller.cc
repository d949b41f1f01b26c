#include "platform/edge/raw_caller.h"

#include <sys/socket.h>
#include <sys/time.h>

#include <array>
#include <boost/asio/write.hpp>

#include "platform/edge/edge_world.h"
#include "platform/wire_names.h"

namespace banyanknot::platform::edge_testing {
namespace {

constexpr time_t kReceiveTimeoutSeconds = 10;

}  // namespace

RawCaller::RawCaller(const state::Endpoint& endpoint) {
  boost::system::error_code error;
  this->socket.connect(
      {boost::asio::ip::make_address(endpoint.address), endpoint.port}, error);
  if (error) return;  // the first read fails
  timeval timeout{kReceiveTimeoutSeconds, 0};
  setsockopt(this->socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &timeout,
             sizeof(timeout));
}

void RawCaller::Write(const std::string& bytes) {
  boost::system::error_code ignored;  // the next read fails
  boost::asio::write(this->socket, boost::asio::buffer(bytes), ignored);
}

std::optional<RawCaller::Response> RawCaller::Read() {
  Response response;
  boost::system::error_code error;
  boost::beast::http::read(this->socket, this->buffer, response, error);
  if (error) return std::nullopt;
  return response;
}

bool RawCaller::IsClosedByPeer() {
  std::array<char, 64> bytes;
  boost::system::error_code error;
  this->socket.read_some(boost::asio::buffer(bytes), error);
  return error == boost::asio::error::eof ||
         error == boost::asio::error::connection_reset;
}

void RawCaller::Close() {
  boost::system::error_code ignored;
  this->socket.close(ignored);
}

std::optional<RawCaller::Response> RawCaller::Call(
    const std::string& target, const std::string& request_id,
    const std::string& method, const std::string& body) {
  this->Write(Request(target, request_id, method, body));
  return this->Read();
}

std::optional<RawCaller::Response> RawCaller::CallWith(
    const std::string& headers, const std::string& target,
    const std::string& request_id) {
  std::string request = Request(target, request_id);
  request.insert(request.size() - std::string("\r\n").size(), headers);
  this->Write(request);
  return this->Read();
}

std::string RawCaller::Request(const std::string& target,
                               const std::string& request_id,
                               const std::string& method,
                               const std::string& body) {
  std::string text = method + " " + target +
                     " HTTP/1.1\r\nHost: " + EdgeWorld::kHost + "\r\n" +
                     wire::kRequestId + ": " + request_id + "\r\n" +
                     wire::kDeadline + ": 2000\r\n";
  if (!body.empty()) {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + body;
}

}  // namespace banyanknot::platform::edge_testing
