#ifndef BANYANKNOT_COORDINATION_AUDIT_TRAIL_H_
#define BANYANKNOT_COORDINATION_AUDIT_TRAIL_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <vector>

#include "banyanknot/coordination/audit_sink.h"
#include "banyanknot/coordination/event_log.h"
#include "banyanknot/coordination/wall_clock.h"

namespace banyanknot::coordination {

/// \brief One event of the audit trail, numbered and with its time.
struct AuditRecord {
  std::uint64_t sequence = 0;  ///< per process, from 1
  std::int64_t unix_ms = 0;
  AuditEvent event;
};

/// \brief Keeps the latest audit events and writes each to the log.
///
/// Thread-safe: events are stored in shards, each under its own lock.
class AuditTrail : public AuditSink {
 public:
  /// \param capacity max events kept; older ones remain in the log only
  AuditTrail(std::size_t capacity, const WallClock& wall_clock, EventLog& log);

  void Append(const AuditEvent& event) override;

  /// \brief Returns the events after `sequence`, oldest first.
  std::vector<AuditRecord> Since(std::uint64_t sequence) const;

 private:
  static constexpr std::size_t kShards = 8;
  struct Shard {
    mutable std::mutex mutex;
    std::deque<AuditRecord> records;
  };

  const std::size_t capacity_per_shard;
  const WallClock& wall_clock;
  EventLog& log;
  std::atomic<std::uint64_t> next_sequence{1};
  std::array<Shard, kShards> shards;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_AUDIT_TRAIL_H_
