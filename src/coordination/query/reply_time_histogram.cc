#include "banyanknot/coordination/query/reply_time_histogram.h"

#include <algorithm>

namespace banyanknot::coordination {
namespace {

constexpr std::uint32_t kMinSamples = 50;
constexpr std::uint32_t kMaxSamples = 8'192;
constexpr unsigned kUnitBits = 10;  // a unit is 1024 ns
constexpr unsigned kStepBits = 3;   // 8 buckets per octave

}  // namespace

std::size_t ReplyTimeHistogram::BucketOf(state::Duration time) {
  const std::uint64_t units =
      static_cast<std::uint64_t>(std::max<std::int64_t>(time.count(), 0)) >>
      kUnitBits;
  if (units < kBucketsPerOctave) return units;
  unsigned octave = 0;
  while ((units >> octave) >= 2 * kBucketsPerOctave) ++octave;
  const std::size_t bucket =
      (octave << kStepBits) + static_cast<std::size_t>(units >> octave);
  return std::min(bucket, kBuckets - 1);
}

state::Duration ReplyTimeHistogram::UpperBoundOf(std::size_t bucket) {
  if (bucket < kBucketsPerOctave) {
    return state::Duration((bucket + 1) << kUnitBits);
  }
  const std::size_t octave = bucket / kBucketsPerOctave - 1;
  const std::size_t step = bucket % kBucketsPerOctave + kBucketsPerOctave;
  return state::Duration((step + 1) << (octave + kUnitBits));
}

void ReplyTimeHistogram::Add(state::Duration time) {
  ++this->counts[BucketOf(time)];
  if (++this->total >= kMaxSamples) this->Halve();
}

void ReplyTimeHistogram::Halve() {
  this->total = 0;
  for (std::uint32_t& count : this->counts) {
    count /= 2;
    this->total += count;
  }
}

std::optional<state::Duration> ReplyTimeHistogram::Quantile(
    double fraction) const {
  if (this->total < kMinSamples) return std::nullopt;
  const double rank = fraction * static_cast<double>(this->total);
  std::uint32_t below = 0;
  for (std::size_t bucket = 0; bucket < kBuckets; ++bucket) {
    below += this->counts[bucket];
    if (static_cast<double>(below) >= rank) return UpperBoundOf(bucket);
  }
  return UpperBoundOf(kBuckets - 1);
}

}  // namespace banyanknot::coordination
