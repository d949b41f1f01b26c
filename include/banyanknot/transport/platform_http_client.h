#ifndef BANYANKNOT_TRANSPORT_PLATFORM_HTTP_CLIENT_H_
#define BANYANKNOT_TRANSPORT_PLATFORM_HTTP_CLIENT_H_

#include <string>

#include "banyanknot/coordination/clock.h"
#include "banyanknot/coordination/configuration_source.h"
#include "banyanknot/coordination/host_list_source.h"
#include "banyanknot/transport/http_connection_pool.h"

namespace banyanknot::transport {

/// \brief Reads the platform's catalogue and host list over HTTP with JSON.
///
/// Thread-safe.
class PlatformHttpClient : public coordination::ConfigurationSource,
                           public coordination::HostListSource {
 public:
  /// \param connect_from as in HttpPoolOptions
  PlatformHttpClient(boost::asio::io_context& context,
                     const coordination::Clock& clock,
                     const state::Endpoint& platform,
                     const std::string& connect_from);

  void Read(std::uint64_t since,
            coordination::RawUpdateHandler handler) override;
  void Watch(std::uint64_t since, state::Duration wait,
             coordination::RawUpdateHandler handler) override;
  void ReadHosts(coordination::HostListHandler handler) override;

 private:
  void Get(const std::string& target, state::Duration timeout,
           HttpCallHandler handler);

  const coordination::Clock& clock;
  HttpConnectionPool pool;
};

}  // namespace banyanknot::transport

#endif  // BANYANKNOT_TRANSPORT_PLATFORM_HTTP_CLIENT_H_
