#include "proxy_connection.h"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <sstream>
#include <utility>

namespace banyanknot::standins::internal {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

ProxyConnection::ProxyConnection(
    asio::io_context& context, Socket source, std::shared_ptr<RouteState> route,
    std::function<void(const ProxyConnection*)> on_closed)
    : route(std::move(route)),
      on_closed(std::move(on_closed)),
      strand(asio::make_strand(context)),
      source(std::move(source)),
      target(context),
      requests(this->source, this->target, this->strand, false),
      replies(this->target, this->source, this->strand, true) {
  error_code ignored;
  this->source_address =
      this->source.remote_endpoint(ignored).address().to_string();
  this->from_domain = this->route->route.from_domain;
}

std::string ProxyConnection::FromDomain() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->from_domain;
}

void ProxyConnection::SetFromDomain(const std::string& domain) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->from_domain = domain;
}

void ProxyConnection::Start() {
  asio::dispatch(this->strand,
                 [self = this->shared_from_this()] { self->Connect(); });
}

void ProxyConnection::Connect() {
  if (this->is_silent) return;
  const state::Endpoint& endpoint = this->route->route.target;
  this->target.async_connect(
      {asio::ip::make_address(endpoint.address), endpoint.port},
      asio::bind_executor(this->strand, [self = this->shared_from_this()](
                                            const error_code& error) {
        if (error) {
          self->Fail();
          return;
        }
        error_code ignored;
        const asio::ip::tcp::no_delay no_delay(true);
        self->source.set_option(no_delay, ignored);
        self->target.set_option(no_delay, ignored);
        self->ReadNext(self->requests);
        self->ReadNext(self->replies);
      }));
}

void ProxyConnection::ReadNext(Pump& pump) {
  if (pump.carries_replies && this->route->Faults().cross_every > 0) {
    this->ReadResponse(pump);
  } else {
    this->ReadBytes(pump);
  }
}

void ProxyConnection::ReadBytes(Pump& pump) {
  pump.from.async_read_some(
      asio::buffer(pump.bytes),
      asio::bind_executor(this->strand,
                          [self = this->shared_from_this(), &pump](
                              const error_code& error, std::size_t count) {
                            if (error) {
                              self->Fail();
                              return;
                            }
                            pump.outgoing.assign(pump.bytes.data(), count);
                            self->Forward(pump);
                          }));
}

void ProxyConnection::ReadResponse(Pump& pump) {
  pump.parser.emplace();
  http::async_read(
      pump.from, pump.buffer, *pump.parser,
      asio::bind_executor(this->strand,
                          [self = this->shared_from_this(), &pump](
                              const error_code& error, std::size_t /*count*/) {
                            if (error) {
                              self->Fail();
                              return;
                            }
                            std::ostringstream text;
                            text << pump.parser->release();
                            pump.outgoing = self->route->crosser.Cross(
                                text.str(), self->route->Faults().cross_every);
                            self->Forward(pump);
                          }));
}

void ProxyConnection::Forward(Pump& pump) {
  const RouteFaults faults = this->route->Faults();
  if (pump.carries_replies) this->reply_bytes += pump.outgoing.size();
  if (faults.reset_after_bytes > 0 &&
      this->reply_bytes >= faults.reset_after_bytes) {
    this->ResetNow();
    return;
  }
  if (faults.delay.count() == 0) {
    this->Write(pump);
    return;
  }
  pump.timer.expires_after(faults.delay);
  pump.timer.async_wait(asio::bind_executor(
      this->strand,
      [self = this->shared_from_this(), &pump](const error_code& error) {
        if (!error) self->Write(pump);
      }));
}

void ProxyConnection::Write(Pump& pump) {
  if (this->is_silent) {
    this->ReadNext(pump);
    return;
  }
  asio::async_write(
      pump.to, asio::buffer(pump.outgoing),
      asio::bind_executor(this->strand,
                          [self = this->shared_from_this(), &pump](
                              const error_code& error, std::size_t /*count*/) {
                            if (error) {
                              self->Fail();
                            } else {
                              self->ReadNext(pump);
                            }
                          }));
}

void ProxyConnection::Fail() {
  if (!this->is_silent) this->Close();
}

void ProxyConnection::ResetNow() {
  error_code ignored;
  this->source.set_option(asio::socket_base::linger(true, 0), ignored);
  this->Close();
}

void ProxyConnection::Close() {
  asio::dispatch(this->strand, [self = this->shared_from_this()] {
    if (std::exchange(self->is_closed, true)) return;
    error_code ignored;
    self->source.close(ignored);
    self->target.close(ignored);
    self->on_closed(self.get());
  });
}

}  // namespace banyanknot::standins::internal
