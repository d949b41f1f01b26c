#ifndef BANYANKNOT_COORDINATION_QUOTA_ASKER_CENSUS_H_
#define BANYANKNOT_COORDINATION_QUOTA_ASKER_CENSUS_H_

#include <cstddef>
#include <map>
#include <mutex>

#include "banyanknot/state/identifier.h"
#include "banyanknot/state/util/time.h"

namespace banyanknot::coordination {

/// \brief How many hosts of a failure domain another host knows of.
struct KnownHosts {
  std::size_t count = 0;
  /// Whether it has been running for long enough to have heard of them all.
  bool is_settled = false;
};

/// \brief Counts the hosts of a failure domain that ask this host for credit.
///
/// A host asks one other at a time. If accounts are kept in several places,
/// because hosts disagree or are cut off, each accrues the part of the hosts
/// that ask there; together they accrue no more than the domain's share.
/// Thread-safe.
class AskerCensus {
 public:
  /// \brief A host that is silent for longer asks elsewhere or is gone.
  static constexpr state::Duration kAskerLifetime = state::Milliseconds(1'200);
  /// \brief A host that nobody has heard of for longer no longer counts.
  static constexpr state::Duration kMemory = state::Milliseconds(3'600'000);

  /// \brief While a host has just started and no settled one has told it how
  /// many others there are, it takes at least this many for granted.
  static constexpr std::size_t kAssumedHosts = 16;
  static constexpr state::Duration kLearningTime = state::Milliseconds(5'000);
  /// \brief The same for a host that no other one asks: it may be cut off.
  static constexpr state::Duration kLonelyTime = state::Milliseconds(60'000);

  /// \param own this host, which always counts
  AskerCensus(state::HostId own, state::TimePoint started_at)
      : own(std::move(own)), started_at(started_at) {}

  /// \brief Starts to learn anew, because quotas are in force from `now` on.
  void Begin(state::TimePoint now);

  /// \brief Records that a host asks here.
  /// \param known what it knows of the domain
  void Record(const state::HostId& host, KnownHosts known,
              state::TimePoint now);
  /// \brief Records what another host knows of the domain.
  void Learn(KnownHosts known, state::TimePoint now);

  /// \brief Returns how many hosts of the domain there are, as far as is known.
  KnownHosts Known(state::TimePoint now) const;
  /// \brief Returns the part of the known hosts that ask here, this host
  /// included; 0 to 1.
  double Fraction(state::TimePoint now) const;

 private:
  std::size_t CountLocked(state::TimePoint now) const;
  bool IsLearningLocked(state::TimePoint now) const;

  const state::HostId own;
  mutable std::mutex mutex;
  state::TimePoint started_at;
  std::map<state::HostId, state::TimePoint> asked_at;
  std::size_t claimed = 0;  // by other hosts
  state::TimePoint claimed_at;
  bool is_told = false;  // by a settled host
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_QUOTA_ASKER_CENSUS_H_
