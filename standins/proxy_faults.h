#ifndef BANYANKNOT_STANDINS_PROXY_FAULTS_H_
#define BANYANKNOT_STANDINS_PROXY_FAULTS_H_

#include <cstdint>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "banyanknot/state/util/time.h"

namespace banyanknot::standins {

/// \brief What a route does to the bytes of its connections.
struct RouteFaults {
  state::Duration delay{0};             ///< of each piece, each way
  bool drops_new = false;               ///< closes new connections at once
  std::uint64_t reset_after_bytes = 0;  ///< of replies; 0 for never
  std::uint64_t cross_every = 0;  ///< each so many-th HTTP response is replaced
                                  ///< by an earlier one; 0 for none
};

/// \brief Pairs of failure domains that can't reach each other.
///
/// Thread-safe.
class DomainCuts {
 public:
  /// \brief Cuts one direction; an empty name stands for any domain.
  void Cut(const std::string& from, const std::string& to);
  void HealAll();
  bool IsCut(const std::string& from, const std::string& to) const;
  bool IsEmpty() const;

 private:
  mutable std::mutex mutex;
  std::set<std::pair<std::string, std::string>> pairs;
};

/// \brief Replaces some responses of a route by earlier ones of other
/// requests.
///
/// Thread-safe.
class ReplyCrosser {
 public:
  /// \param every each so many-th response is replaced; 0 for none
  /// \returns the response to send in place of `response`
  std::string Cross(std::string response, std::uint64_t every);

 private:
  std::mutex mutex;
  std::uint64_t count = 0;
  std::string previous;
};

}  // namespace banyanknot::standins

#endif  // BANYANKNOT_STANDINS_PROXY_FAULTS_H_
