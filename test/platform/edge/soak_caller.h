#ifndef BANYANKNOT_TEST_PLATFORM_EDGE_SOAK_CALLER_H_
#define BANYANKNOT_TEST_PLATFORM_EDGE_SOAK_CALLER_H_

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "platform/edge/raw_caller.h"

namespace banyanknot::platform::edge_testing {

/// \brief Address of an edge program, and the faults injected into it so far.
struct SoakTarget {
  state::Endpoint callers;
  // Each counts both starts and ends, so it is odd while the fault lasts.
  std::atomic<int> kills{0};   ///< connections break
  std::atomic<int> stops{0};   ///< idle connections close
  std::atomic<int> pauses{0};  ///< answers come late
};

/// \brief Copy of the fault counts of a SoakTarget at one moment.
struct SoakTargetCounts {
  explicit SoakTargetCounts(const SoakTarget& target)
      : kills(target.kills), stops(target.stops), pauses(target.pauses) {}

  /// \brief Tells whether a fault was in progress at one of two moments or
  /// occurred in between.
  static bool IsDisturbed(int before, int after) {
    return before != after || before % 2 != 0;
  }

  int kills;
  int stops;
  int pauses;
};

/// \brief Observations of one caller; read only after the caller's thread
/// ended.
struct SoakObservations {
  std::map<unsigned, std::size_t> statuses;  ///< 0: connection lost
  std::vector<std::string> violations;       ///< descriptions
  std::vector<std::string> at_most_once;     ///< ids of non-idempotent requests
  std::vector<std::string> not_run;          ///< ids answered with 503
  std::vector<std::string> lost_in_stop;  ///< ids lost in a graceful shutdown
};

/// \brief Sends requests one after the other on persistent connections, and
/// checks each response.
class SoakCaller {
 public:
  SoakCaller(std::uint64_t seed, unsigned number,
             std::vector<std::shared_ptr<SoakTarget>> targets);

  /// \brief Calls until `is_done`.
  void Run(const std::atomic<bool>& is_done);
  const SoakObservations& Observations() const { return this->observations; }

 private:
  enum class Kind { kRelay, kOnce, kGather };

  void CallOnce();
  std::optional<RawCaller::Response> Send(Kind kind, const std::string& id);
  void RecordLostConnection(const std::string& id,
                            const SoakTargetCounts& before,
                            const SoakTargetCounts& after);
  void Check(Kind kind, const std::string& id,
             const RawCaller::Response& response);
  void CheckSuccess(Kind kind, const std::string& id,
                    const RawCaller::Response& response);
  void RecordViolation(const std::string& id, const std::string& violation);

  std::mt19937_64 random;
  const unsigned number;
  const std::vector<std::shared_ptr<SoakTarget>> targets;
  std::shared_ptr<SoakTarget> target;
  std::unique_ptr<RawCaller> connection;
  std::uint64_t calls = 0;
  SoakObservations observations;
};

}  // namespace banyanknot::platform::edge_testing

#endif  // BANYANKNOT_TEST_PLATFORM_EDGE_SOAK_CALLER_H_
