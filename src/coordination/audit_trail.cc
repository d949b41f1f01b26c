#include "banyanknot/coordination/audit_trail.h"

#include <algorithm>
#include <cstdio>
#include <string>

namespace banyanknot::coordination {
namespace {

struct KindCode {
  AuditKind kind;
  EventCode code;
};

constexpr std::array<KindCode, 8> kKindCodes{{
    {AuditKind::kEntryAccepted, EventCode::kEntryAccepted},
    {AuditKind::kEntryRefused, EventCode::kEntryRefused},
    {AuditKind::kEntryDeleted, EventCode::kEntryDeleted},
    {AuditKind::kEntryConflict, EventCode::kEntryConflict},
    {AuditKind::kDomainState, EventCode::kDomainState},
    {AuditKind::kServerPhase, EventCode::kServerPhase},
    {AuditKind::kHostState, EventCode::kHostState},
    {AuditKind::kHostLifecycle, EventCode::kHostLifecycle},
}};

EventCode CodeOf(AuditKind kind) {
  for (const KindCode& row : kKindCodes) {
    if (row.kind == kind) return row.code;
  }
  return EventCode::kHostLifecycle;
}

std::string ToHexadecimal(std::uint64_t number) {
  char digits[17];
  std::snprintf(digits, sizeof(digits), "%016llx",
                static_cast<unsigned long long>(number));  // NOLINT
  return digits;
}

std::vector<LogField> FieldsOf(const AuditRecord& record) {
  const AuditEvent& event = record.event;
  std::vector<LogField> fields{{"audit", std::to_string(record.sequence)},
                               {"subject", event.subject}};
  if (event.revision > 0) {
    fields.push_back({"revision", std::to_string(event.revision)});
  }
  if (!event.owner.empty()) fields.push_back({"owner", event.owner});
  if (event.content_hash != 0) {
    fields.push_back({"content_hash", ToHexadecimal(event.content_hash)});
  }
  fields.push_back({"source", event.source});
  fields.push_back({"detail", event.detail});
  return fields;
}

}  // namespace

AuditTrail::AuditTrail(std::size_t capacity, const WallClock& wall_clock,
                       EventLog& log)
    : capacity_per_shard(std::max<std::size_t>(1, capacity / kShards)),
      wall_clock(wall_clock),
      log(log) {}

void AuditTrail::Append(const AuditEvent& event) {
  const AuditRecord record{this->next_sequence.fetch_add(1),
                           this->wall_clock.UnixMilliseconds(), event};
  {
    Shard& shard = this->shards[record.sequence % kShards];
    const std::lock_guard<std::mutex> lock(shard.mutex);
    shard.records.push_back(record);
    if (shard.records.size() > this->capacity_per_shard) {
      shard.records.pop_front();
    }
  }
  this->log.Write(CodeOf(event.kind), FieldsOf(record));
}

std::vector<AuditRecord> AuditTrail::Since(std::uint64_t sequence) const {
  std::vector<AuditRecord> found;
  for (const Shard& shard : this->shards) {
    const std::lock_guard<std::mutex> lock(shard.mutex);
    for (const AuditRecord& record : shard.records) {
      if (record.sequence > sequence) found.push_back(record);
    }
  }
  std::sort(found.begin(), found.end(),
            [](const AuditRecord& left, const AuditRecord& right) {
              return left.sequence < right.sequence;
            });
  return found;
}

}  // namespace banyanknot::coordination
