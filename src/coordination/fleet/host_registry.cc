#include "banyanknot/coordination/fleet/host_registry.h"

#include <algorithm>
#include <cmath>
#include <unordered_set>
#include <utility>

namespace banyanknot::coordination {
namespace {

constexpr std::size_t kHostUpdatesPerMessage = 8;
constexpr state::Duration kSuspicionUnit = state::Milliseconds(1'000);
constexpr state::Duration kRetention = state::Milliseconds(600'000);

/// Time that a suspect host has to refute; grows with the logarithm of the
/// fleet's size.
state::Duration SuspicionTimeout(std::size_t host_count) {
  const double units = std::log2(static_cast<double>(host_count) + 2.0);
  return state::Milliseconds(static_cast<std::int64_t>(
      units * static_cast<double>(state::ToMilliseconds(kSuspicionUnit))));
}

int SeverityOf(state::HostState host_state) {
  return static_cast<int>(host_state);
}

/// Tells whether an update overrides the held record of the same incarnation.
bool Outranks(const HostUpdate& update, const state::HostRecord& held) {
  if (held.host_state == state::HostState::kLeft) return false;
  if (update.host_state == state::HostState::kLeft) return true;
  if (update.refutation != held.refutation) {
    return update.refutation > held.refutation;
  }
  return SeverityOf(update.host_state) > SeverityOf(held.host_state);
}

HostUpdate HostUpdateOf(const state::HostRecord& record) {
  return {record.listed, record.incarnation, record.host_state,
          record.refutation};
}

}  // namespace

HostRegistry::HostRegistry(const state::HostIdentity& self, const Clock& clock,
                           state::HostTable& table, AuditSink& audit)
    : self(self), clock(clock), table(table), audit(audit) {}

HostUpdate HostRegistry::SelfUpdate() const {
  HostUpdate update{this->self.self, this->self.incarnation,
                    state::HostState::kAlive, this->refutation};
  update.host.leaving = this->is_leaving;
  return update;
}

void HostRegistry::ApplyList(const std::vector<state::ListedHost>& hosts) {
  const state::TimePoint now = this->clock.Now();
  std::unordered_set<state::HostId> listed;
  for (const state::ListedHost& host : hosts) {
    listed.insert(host.id);
    if (host.id == this->self.self.id) continue;
    this->table.Update(host.id, [&host, now](state::HostRecord& record) {
      if (record.listed.id.IsEmpty()) {
        record.listed = host;
        record.changed_at = now;
      }
      const bool starts_leaving = host.leaving && !record.was_listed_leaving;
      record.is_listed = true;
      record.was_listed_leaving = host.leaving;
      record.listed.leaving = record.listed.leaving || starts_leaving;
      if (record.incarnation == 0) record.listed.peer = host.peer;
    });
  }
  std::vector<state::HostId> unlisted;
  this->table.ForEach([&listed, &unlisted](const state::HostId& id,
                                           const state::HostRecord& record) {
    if (record.is_listed && listed.count(id) == 0) unlisted.push_back(id);
  });
  for (const state::HostId& id : unlisted) {
    this->table.UpdateIfPresent(
        id, [](state::HostRecord& record) { record.is_listed = false; });
  }
}

void HostRegistry::ApplyHostUpdate(const HostUpdate& update,
                                   const state::HostId& from) {
  if (update.host.id == this->self.self.id) {
    this->Refute(update);
    return;
  }
  const state::TimePoint now = this->clock.Now();
  const bool is_gone = update.host_state == state::HostState::kDead ||
                       update.host_state == state::HostState::kLeft;
  if (is_gone && !this->table.Find(update.host.id)) return;
  std::optional<Change> change;
  this->table.Update(update.host.id, [&](state::HostRecord& record) {
    const bool is_new = record.listed.id.IsEmpty();
    const bool is_later = update.incarnation > record.incarnation;
    const bool is_same = update.incarnation == record.incarnation;
    if (!is_new && !is_later && !(is_same && Outranks(update, record))) return;
    const state::HostState before = record.host_state;
    const bool was_leaving = is_same && record.listed.leaving;
    record.listed = update.host;
    record.listed.leaving = record.listed.leaving || was_leaving;
    record.incarnation = update.incarnation;
    record.refutation = update.refutation;
    record.host_state = update.host_state;
    record.changed_at = now;
    change = Change{record, before, is_new || is_later};
  });
  if (change) this->Publish(*change, from.Text(), "reported by a peer");
}

void HostRegistry::Refute(const HostUpdate& update) {
  if (update.incarnation != this->self.incarnation) return;
  if (update.host_state != state::HostState::kSuspect &&
      update.host_state != state::HostState::kDead) {
    return;
  }
  std::uint32_t own = this->refutation.load();
  while (own <= update.refutation &&
         !this->refutation.compare_exchange_weak(own, update.refutation + 1)) {
  }
  this->queue.Add(this->self.self.id, this->SelfUpdate());
}

bool HostRegistry::ApplyContact(
    const state::HostId& id, std::uint64_t incarnation,
    const std::optional<state::ListedHost>& sender) {
  if (id == this->self.self.id || (!sender && !this->table.Find(id))) {
    return false;
  }
  if (sender) this->MarkReplaced(*sender);
  const state::TimePoint now = this->clock.Now();
  std::optional<Change> change;
  this->table.Update(id, [&](state::HostRecord& record) {
    const bool is_new =
        record.listed.id.IsEmpty() || incarnation > record.incarnation;
    if (!is_new && incarnation < record.incarnation) return;
    const state::HostState before = record.host_state;
    if (!is_new && before == state::HostState::kLeft) return;
    const bool starts_leaving =
        sender && sender->leaving && !record.listed.leaving;
    const bool was_leaving = !is_new && record.listed.leaving;
    if (sender) record.listed = *sender;
    record.listed.leaving = record.listed.leaving || was_leaving;
    if (is_new) record.refutation = 0;
    record.incarnation = incarnation;
    record.host_state = state::HostState::kAlive;
    if (!is_new && before == state::HostState::kAlive && !starts_leaving) {
      return;
    }
    record.changed_at = now;
    change = Change{record, before, is_new};
  });
  if (change) {
    this->Publish(*change, id.Text(), "message received from the host");
  }
  return change && change->is_new;
}

void HostRegistry::MarkReplaced(const state::ListedHost& sender) {
  std::vector<state::HostId> replaced;
  this->table.ForEach([&replaced, &sender](const state::HostId& id,
                                           const state::HostRecord& record) {
    if (id != sender.id && record.listed.peer == sender.peer &&
        record.host_state != state::HostState::kDead &&
        record.host_state != state::HostState::kLeft) {
      replaced.push_back(id);
    }
  });
  const state::TimePoint now = this->clock.Now();
  for (const state::HostId& id : replaced) {
    std::optional<Change> change;
    this->table.UpdateIfPresent(id, [&change, now](state::HostRecord& record) {
      const state::HostState before = record.host_state;
      record.host_state = state::HostState::kDead;
      record.changed_at = now;
      change = Change{record, before, false};
    });
    if (change) {
      this->Publish(*change, sender.id.Text(),
                    "address taken over by another host");
    }
  }
}

void HostRegistry::ApplyGoodbye(const state::HostId& id,
                                std::uint64_t incarnation) {
  const state::TimePoint now = this->clock.Now();
  std::optional<Change> change;
  this->table.UpdateIfPresent(id, [&](state::HostRecord& record) {
    if (incarnation < record.incarnation ||
        (incarnation == record.incarnation &&
         record.host_state == state::HostState::kLeft)) {
      return;
    }
    const state::HostState before = record.host_state;
    record.incarnation = incarnation;
    record.host_state = state::HostState::kLeft;
    record.listed.leaving = true;
    record.changed_at = now;
    change = Change{record, before, false};
  });
  if (change) this->Publish(*change, id.Text(), "goodbye received");
}

void HostRegistry::Suspect(const state::HostId& id) {
  const state::TimePoint now = this->clock.Now();
  std::optional<Change> change;
  this->table.UpdateIfPresent(id, [&change, now](state::HostRecord& record) {
    const state::HostState before = record.host_state;
    const bool was_never_heard =
        record.incarnation == 0 && before == state::HostState::kSuspect;
    if (before != state::HostState::kAlive && !was_never_heard) return;
    record.host_state =
        was_never_heard ? state::HostState::kDead : state::HostState::kSuspect;
    record.changed_at = now;
    change = Change{record, before, false};
  });
  if (change) this->Publish(*change, "local", "no reply to probes");
}

void HostRegistry::Expire() {
  const state::TimePoint now = this->clock.Now();
  const state::Duration timeout = SuspicionTimeout(this->table.Size());
  std::vector<state::HostId> overdue;
  this->table.ForEach(
      [&](const state::HostId& id, const state::HostRecord& record) {
        if (record.host_state == state::HostState::kSuspect &&
            record.incarnation != 0 && now - record.changed_at >= timeout) {
          overdue.push_back(id);
        }
      });
  for (const state::HostId& id : overdue) {
    std::optional<Change> change;
    this->table.UpdateIfPresent(id, [&](state::HostRecord& record) {
      if (record.host_state != state::HostState::kSuspect) return;
      record.host_state = state::HostState::kDead;
      record.changed_at = now;
      change = Change{record, state::HostState::kSuspect, false};
    });
    if (change) this->Publish(*change, "local", "suspicion timed out");
  }
  this->table.RemoveIf(
      [now](const state::HostId& /*id*/, const state::HostRecord& record) {
        const bool is_gone = record.host_state == state::HostState::kDead ||
                             record.host_state == state::HostState::kLeft;
        return is_gone && !record.is_listed &&
               now - record.changed_at >= kRetention;
      });
}

void HostRegistry::Publish(const Change& change, const std::string& source,
                           const std::string& detail) {
  if (change.record.incarnation != 0) {
    this->queue.Add(change.record.listed.id, HostUpdateOf(change.record));
  }
  if (change.record.host_state == change.before && !change.is_new) return;
  this->audit.Append({AuditKind::kHostState, change.record.listed.id.Text(),
                      change.record.incarnation, "", 0, source,
                      std::string(NameOf(change.before)) + " to " +
                          std::string(NameOf(change.record.host_state)) + ": " +
                          detail});
}

std::vector<HostUpdate> HostRegistry::TakeHostUpdates(
    const state::HostId& receiver) {
  const std::size_t limit = MaxTransmissions(this->table.Size());
  std::vector<HostUpdate> host_updates =
      this->queue.Take(kHostUpdatesPerMessage, limit);
  const std::optional<state::HostRecord> held = this->table.Find(receiver);
  if (held &&
      (held->host_state == state::HostState::kSuspect ||
       held->host_state == state::HostState::kDead) &&
      held->incarnation != 0) {
    host_updates.push_back(HostUpdateOf(*held));
  }
  return host_updates;
}

std::vector<HostUpdate> HostRegistry::AliveHostUpdates() const {
  std::vector<HostUpdate> host_updates;
  this->table.ForEach([&host_updates](const state::HostId& /*id*/,
                                      const state::HostRecord& record) {
    if (record.host_state == state::HostState::kAlive) {
      host_updates.push_back(HostUpdateOf(record));
    }
  });
  return host_updates;
}

}  // namespace banyanknot::coordination
