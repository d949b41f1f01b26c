#ifndef BANYANKNOT_STANDINS_COLD_START_MODEL_H_
#define BANYANKNOT_STANDINS_COLD_START_MODEL_H_

#include <cstdint>

#include "backend_behaviour.h"

namespace banyanknot::standins {

/// \brief What a cold start has cost one stand-in.
struct ColdStartCounters {
  std::uint32_t max_in_progress = 0;  ///< while cold and known to be so
  std::uint32_t max_unannounced = 0;  ///< before any reply could tell
  std::uint64_t falls = 0;            ///< times that it bore too much
};

/// \brief Warms up with time and falls over when it gets too much work cold.
///
/// Not thread-safe; its owner locks.
class ColdStartModel {
 public:
  /// \param policy read at each call, so that it can change at run time
  ColdStartModel(const ColdStart& policy, state::TimePoint now);

  /// \brief Turns cold, with a new instance id.
  void TurnCold(state::TimePoint now);
  bool IsCold(state::TimePoint now) const;

  /// \brief Notes that work arrived.
  /// \param in_progress work that arrived since it turned cold, running or
  ///     queued, this one too
  void OnArrival(std::uint32_t in_progress, state::TimePoint now);

  /// \brief Notes that a reply names the present instance.
  void OnReply(state::TimePoint now);

  /// \brief How much slower than usual it is now.
  std::uint64_t SlowFactor(state::TimePoint now) const;

  /// \brief Counts how often it turned cold; part of its instance id.
  std::uint64_t Generation() const { return this->generation; }
  const ColdStartCounters& Counters() const { return this->counters; }

 private:
  const ColdStart& policy;
  std::uint64_t generation = 1;
  state::TimePoint warm_at;
  state::TimePoint announced_at;
  state::TimePoint fallen_until;
  ColdStartCounters counters;
};

}  // namespace banyanknot::standins

#endif  // BANYANKNOT_STANDINS_COLD_START_MODEL_H_
