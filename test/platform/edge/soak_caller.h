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

/// \brief An edge program as its callers know it: what was done to it so far.
struct SoakTarget {
  state::Endpoint callers;
  // Each counts beginnings and ends, so that it is odd while it lasts.
  std::atomic<int> kills{0};   ///< connections break
  std::atomic<int> stops{0};   ///< idle connections close
  std::atomic<int> pauses{0};  ///< answers come late
};

/// \brief What was under way at an edge program at one moment.
struct SoakMoment {
  explicit SoakMoment(const SoakTarget& target)
      : kills(target.kills), stops(target.stops), pauses(target.pauses) {}

  /// \brief Tells whether a disturbance of a kind was under way at one of two
  /// moments, or came in between.
  static bool IsDisturbed(int before, int after) {
    return before != after || before % 2 != 0;
  }

  int kills;
  int stops;
  int pauses;
};

/// \brief What one caller saw; written by its thread, read when that ended.
struct SoakSeen {
  std::map<unsigned, std::size_t> statuses;  ///< 0 for a connection that ended
  std::vector<std::string> broken;           ///< promises, in words
  std::vector<std::string> once;             ///< ids that may run once at most
  std::vector<std::string> not_run;          ///< ids that were refused as such
  std::vector<std::string> cut_in_stop;      ///< ids cut in a planned stop
};

/// \brief Sends one request after the other on connections that it keeps, and
/// checks each answer.
class SoakCaller {
 public:
  SoakCaller(std::uint64_t seed, unsigned number,
             std::vector<std::shared_ptr<SoakTarget>> targets);

  /// \brief Calls until `is_over`.
  void Run(const std::atomic<bool>& is_over);
  const SoakSeen& Seen() const { return this->seen; }

 private:
  enum class Kind { kRelay, kOnce, kGather };

  void CallOnce();
  std::optional<RawCaller::Response> Send(Kind kind, const std::string& id);
  void NoteCut(const std::string& id, const SoakMoment& before,
               const SoakMoment& after);
  void Check(Kind kind, const std::string& id,
             const RawCaller::Response& response);
  void CheckSuccess(Kind kind, const std::string& id,
                    const RawCaller::Response& response);
  void Break(const std::string& id, const std::string& what);

  std::mt19937_64 random;
  const unsigned number;
  const std::vector<std::shared_ptr<SoakTarget>> targets;
  std::shared_ptr<SoakTarget> target;
  std::unique_ptr<RawCaller> connection;
  std::uint64_t calls = 0;
  SoakSeen seen;
};

}  // namespace banyanknot::platform::edge_testing

#endif  // BANYANKNOT_TEST_PLATFORM_EDGE_SOAK_CALLER_H_
