#ifndef BANYANKNOT_TEST_PLATFORM_STORM_ROUTE_HISTORY_H_
#define BANYANKNOT_TEST_PLATFORM_STORM_ROUTE_HISTORY_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace banyanknot::platform::edge_testing {

/// \brief The service of each route, by prefix.
using RoutesByPrefix = std::map<std::string, std::string>;

/// \brief All versions of the routes that were published, and which of them
/// explain how a request was handled.
///
/// A request is handled by a service or, without a route, by kNoRoute.
/// Thread-safe.
class RouteHistory {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;
  static constexpr const char* kNoRoute = "404";

  /// \brief Adds a version that is about to be written.
  void Add(std::uint64_t version, const RoutesByPrefix& routes);
  /// \brief Notes that the newest version was acknowledged.
  void Acknowledge(TimePoint now);

  /// \brief Returns the newest version acknowledged by `time`; 0 if none.
  std::uint64_t NewestBy(TimePoint time) const;
  /// \brief Returns the first version from `from` on that handles requests for
  /// `prefix` by `service`; 0 if none does.
  std::uint64_t FirstFrom(std::uint64_t from, const std::string& prefix,
                          const std::string& service) const;
  /// \brief Returns a prefix among those of the newest `count` changes.
  /// \param draw any number, which selects it
  std::string RecentPrefix(std::uint64_t draw, std::size_t count) const;
  /// \brief Describes the changes of a route.
  std::string Describe(const std::string& prefix) const;

 private:
  struct Change {
    std::uint64_t version = 0;
    std::string service;
  };

  mutable std::mutex mutex;
  RoutesByPrefix newest;
  std::uint64_t newest_version = 0;
  std::map<std::string, std::vector<Change>> changes;  // by prefix
  std::vector<std::string> changed_prefixes;           // oldest first
  std::vector<std::pair<TimePoint, std::uint64_t>> acknowledged;
};

}  // namespace banyanknot::platform::edge_testing

#endif  // BANYANKNOT_TEST_PLATFORM_STORM_ROUTE_HISTORY_H_
