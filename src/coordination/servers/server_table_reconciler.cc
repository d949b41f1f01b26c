#include "banyanknot/coordination/servers/server_table_reconciler.h"

#include <map>
#include <memory>

namespace banyanknot::coordination {
namespace {

constexpr state::Duration kInterval = state::Milliseconds(250);

}  // namespace

ServerTableReconciler::ServerTableReconciler(
    const Clock& clock, TimerService& timers,
    const state::CatalogueTable& catalogue, state::ServerTable& servers,
    RendezvousColdSlotOwnership& ownership, const ServerPhaseRules& rules,
    ServerPhaseJournal& journal)
    : clock(clock),
      timers(timers),
      catalogue(catalogue),
      servers(servers),
      ownership(ownership),
      rules(rules),
      journal(journal) {}

void ServerTableReconciler::Start() {
  this->RunOnce();
  this->timers.RunAt(this->clock.Now() + kInterval, [this] { this->Start(); });
}

void ServerTableReconciler::RunOnce() {
  const std::uint64_t change = this->catalogue.ChangeCount();
  if (this->applied_change_count != change) {
    this->ApplyCatalogue();
    this->applied_change_count = change;
  }
  this->ownership.Observe(this->domains);
}

void ServerTableReconciler::ApplyCatalogue() {
  const ServerEntries entries = this->CollectEntries();
  std::map<state::FailureDomainId, bool> is_out;
  for (const auto& [id, entry] : entries) is_out[entry.domain] = false;
  this->domains.clear();
  for (auto& [domain, out] : is_out) {
    out = this->catalogue.FindDomainState(domain) == state::DomainState::kOut;
    this->domains.push_back(domain);
  }
  for (const auto& [id, entry] : entries) {
    this->ApplyEntry(entry, is_out[entry.domain]);
  }
  this->MarkUnlisted(entries);
}

ServerTableReconciler::ServerEntries ServerTableReconciler::CollectEntries() {
  ServerEntries entries;
  const std::vector<std::shared_ptr<const state::ServiceEntry>> services =
      this->catalogue.Services();
  for (const std::shared_ptr<const state::ServiceEntry>& service : services) {
    for (const state::ServerEntry& entry : service->servers) {
      entries.emplace(entry.id, entry);
    }
  }
  return entries;
}

void ServerTableReconciler::ApplyEntry(const state::ServerEntry& entry,
                                       bool is_out) {
  const state::TimePoint now = this->clock.Now();
  MaybePhaseChange change;
  this->servers.Update(entry.id, [&](state::ServerRecord& record) {
    record.limits = {entry.domain, entry.endpoint,   entry.connections,
                     entry.slots,  entry.cold_slots, entry.warm_up};
    const bool returned = record.domain_was_out && !is_out;
    const bool relisted = !record.is_listed;
    record.domain_was_out = is_out;
    record.is_listed = true;
    if (returned || relisted) {
      change = this->rules.PresumeCold(
          record,
          returned ? PhaseCause::kDomainReturned : PhaseCause::kRelisted, now);
    }
  });
  this->journal.Record(entry.id, change);
}

void ServerTableReconciler::MarkUnlisted(const ServerEntries& entries) {
  std::vector<state::ServerId> removed;
  this->servers.ForEach(
      [&](const state::ServerId& id, const state::ServerRecord& record) {
        if (record.is_listed && entries.count(id) == 0) removed.push_back(id);
      });
  for (const state::ServerId& id : removed) {
    this->servers.UpdateIfPresent(
        id, [](state::ServerRecord& record) { record.is_listed = false; });
  }
}

}  // namespace banyanknot::coordination
