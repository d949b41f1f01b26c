#include "platform/edge/raw_server_stand_in.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <utility>

#include "platform/wire_names.h"

namespace banyanknot::platform::edge_testing {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

std::string Line(const std::string& name, const std::string& value) {
  return name + ": " + value + "\r\n";
}

std::string WithBody(const std::string& head, const std::string& body) {
  return head + Line("Content-Length", std::to_string(body.size())) + "\r\n" +
         body;
}

}  // namespace

struct RawServerStandIn::Shared : std::enable_shared_from_this<Shared> {
  Shared(asio::io_context& context, Script script)
      : context(context),
        script(std::move(script)),
        acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {}
  void AcceptNext();

  asio::io_context& context;
  const Script script;
  tcp::acceptor acceptor;
  std::size_t connections = 0;
  std::mutex mutex;
  std::map<std::string, std::size_t> received;  // by request id
};

class RawServerStandIn::Connection
    : public std::enable_shared_from_this<Connection> {
 public:
  Connection(std::shared_ptr<Shared> server, tcp::socket socket,
             std::size_t index)
      : server(std::move(server)),
        socket(std::move(socket)),
        timer(this->socket.get_executor()),
        index(index) {}

  void ReadNext() {
    this->message = {};
    http::async_read(
        this->socket, this->buffer, this->message,
        [self = this->shared_from_this()](
            const boost::system::error_code& error, std::size_t /*bytes*/) {
          if (!error) self->React();
        });
  }

 private:
  void React() {
    RawRequest request;
    request.id = std::string(this->message[wire::kRequestId]);
    request.target = std::string(this->message.target());
    request.host = std::string(this->message[http::field::host]);
    request.connection = this->index;
    request.number = this->requests++;
    {
      const std::lock_guard<std::mutex> lock(this->server->mutex);
      ++this->server->received[request.id];
    }
    this->steps = this->server->script(request);
    this->RunStep(0);
  }

  void RunStep(std::size_t step) {
    if (step == this->steps.size()) {
      this->ReadNext();
      return;
    }
    this->timer.expires_after(this->steps[step].pause);
    this->timer.async_wait([self = this->shared_from_this(),
                            step](const boost::system::error_code& error) {
      if (!error) self->WriteStep(step);
    });
  }

  void WriteStep(std::size_t step) {
    asio::async_write(
        this->socket, asio::buffer(this->steps[step].bytes),
        [self = this->shared_from_this(), step](
            const boost::system::error_code& error, std::size_t /*bytes*/) {
          if (!error) self->EndStep(step);
        });
  }

  void EndStep(std::size_t step) {
    boost::system::error_code ignored;
    switch (this->steps[step].end) {
      case RawEnd::kGoOn:
        this->RunStep(step + 1);
        break;
      case RawEnd::kClose:
        this->socket.shutdown(tcp::socket::shutdown_both, ignored);
        this->socket.close(ignored);
        break;
      case RawEnd::kReset:
        this->socket.set_option(asio::socket_base::linger(true, 0), ignored);
        this->socket.close(ignored);
        break;
    }
  }

  const std::shared_ptr<Shared> server;
  tcp::socket socket;
  asio::steady_timer timer;
  const std::size_t index;
  std::size_t requests = 0;
  std::vector<RawStep> steps;
  boost::beast::flat_buffer buffer;
  http::request<http::string_body> message;
};

void RawServerStandIn::Shared::AcceptNext() {
  this->acceptor.async_accept([self = this->shared_from_this()](
                                  const boost::system::error_code& error,
                                  tcp::socket socket) {
    if (error) return;
    std::make_shared<Connection>(self, std::move(socket), self->connections++)
        ->ReadNext();
    self->AcceptNext();
  });
}

RawServerStandIn::RawServerStandIn(std::string id, Script script)
    : id(std::move(id)),
      shared(std::make_shared<Shared>(this->threads.Context(),
                                      std::move(script))) {
  this->shared->AcceptNext();
}

RawServerStandIn::~RawServerStandIn() { this->threads.Stop(); }

std::uint16_t RawServerStandIn::Port() const {
  return this->shared->acceptor.local_endpoint().port();
}

std::size_t RawServerStandIn::ReceivedOf(const std::string& request_id) const {
  const std::lock_guard<std::mutex> lock(this->shared->mutex);
  const auto found = this->shared->received.find(request_id);
  return found == this->shared->received.end() ? 0 : found->second;
}

std::string RawServerStandIn::Success(const std::string& id,
                                      const RawRequest& request) {
  return WithBody("HTTP/1.1 200 OK\r\n" + Line(wire::kRequestId, request.id) +
                      Line(wire::kSignature, id + "/" + request.id),
                  request.id);
}

std::string RawServerStandIn::Refusal(const RawRequest& request) {
  return WithBody("HTTP/1.1 503 Service Unavailable\r\n" +
                      Line(wire::kNotRun, "1") +
                      Line(wire::kRequestId, request.id),
                  "");
}

std::string RawServerStandIn::Health(const std::string& id) {
  return WithBody("HTTP/1.1 200 OK\r\n" + Line(wire::kServerId, id), "");
}

bool RawServerStandIn::IsHealthCheck(const RawRequest& request) {
  return request.target == "/health";
}

RawServerStandIn::Script RawServerStandIn::Slow(const std::string& id,
                                                state::Duration service_time) {
  return [id, service_time](const RawRequest& request) {
    return std::vector<RawStep>{
        {IsHealthCheck(request) ? Health(id) : Success(id, request),
         service_time, RawEnd::kGoOn}};
  };
}

}  // namespace banyanknot::platform::edge_testing
