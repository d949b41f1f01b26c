#include "banyanknot/transport/http_connection_pool.h"

#include <utility>

#include "banyanknot/state/util/assert.h"
#include "transport/pending_call.h"
#include "transport/pool_core.h"

namespace banyanknot::transport {

namespace asio = boost::asio;

bool AcceptAnyResponse(const protocol::HttpResponse& /*response*/) {
  return true;
}

HttpConnectionPool::HttpConnectionPool(asio::io_context& context,
                                       const coordination::Clock& clock,
                                       state::Endpoint endpoint,
                                       HttpPoolOptions options)
    : core(std::make_shared<internal::PoolCore>(
          context, clock, std::move(endpoint), std::move(options))) {}

HttpConnectionPool::HttpConnectionPool(asio::io_context& context,
                                       const coordination::Clock& clock,
                                       state::Endpoint endpoint,
                                       std::size_t max_connections)
    : HttpConnectionPool(context, clock, std::move(endpoint),
                         HttpPoolOptions::Unchecked(max_connections)) {}

HttpConnectionPool::~HttpConnectionPool() { this->Shutdown(); }

HttpCallHandle HttpConnectionPool::Call(HttpCall call,
                                        HttpCallHandler handler) {
  HttpCallHandle pending = std::make_shared<internal::PendingCall>(
      std::move(call), std::move(handler));
  this->core->Call(pending);
  return pending;
}

void HttpConnectionPool::Cancel(const HttpCallHandle& handle) {
  this->core->Cancel(handle);
}

void HttpConnectionPool::SetLimits(ConnectionLimits limits) {
  BANYANKNOT_ASSERT(limits.max_open > 0, "max_open must be at least 1");
  this->core->SetLimits(limits);
}

std::size_t HttpConnectionPool::OpenConnections() const {
  return this->core->OpenConnections();
}

void HttpConnectionPool::Shutdown() { this->core->Shutdown(); }

}  // namespace banyanknot::transport
