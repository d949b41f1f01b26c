#ifndef BANYANKNOT_COORDINATION_QUERY_REPLY_TIME_HISTOGRAM_H_
#define BANYANKNOT_COORDINATION_QUERY_REPLY_TIME_HISTOGRAM_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "banyanknot/state/util/time.h"

namespace banyanknot::coordination {

/// \brief Histogram of recent reply times in log-linear buckets.
///
/// All counts are halved when their total reaches a limit, so that old samples
/// decay. The error of a quantile is at most one bucket, an eighth of its
/// value. Not thread-safe.
class ReplyTimeHistogram {
 public:
  void Add(state::Duration time);

  /// \brief Returns the upper bound of the bucket that holds the quantile.
  /// \returns nothing while there are too few samples
  std::optional<state::Duration> Quantile(double fraction) const;

 private:
  static constexpr std::size_t kBucketsPerOctave = 8;
  static constexpr std::size_t kOctaves = 28;
  static constexpr std::size_t kBuckets = kBucketsPerOctave * kOctaves;

  static std::size_t BucketOf(state::Duration time);
  static state::Duration UpperBoundOf(std::size_t bucket);
  void Halve();

  std::array<std::uint32_t, kBuckets> counts{};
  std::uint32_t total = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_QUERY_REPLY_TIME_HISTOGRAM_H_
