#include "banyanknot/coordination/servers/slow_start_prober.h"

#include <optional>
#include <vector>

namespace banyanknot::coordination {

SlowStartProber::SlowStartProber(std::uint64_t origin, const Clock& clock,
                                 TimerService& timers,
                                 const state::CatalogueTable& catalogue,
                                 const state::ServerTable& servers,
                                 ServerGate& gate, BackendClient& backend,
                                 SlowStartProbeOptions options)
    : origin(origin),
      clock(clock),
      timers(timers),
      catalogue(catalogue),
      servers(servers),
      gate(gate),
      backend(backend),
      options(options),
      in_flight(std::make_shared<std::atomic<std::size_t>>(0)) {}

void SlowStartProber::Start() {
  this->RunOnce();
  this->timers.RunAt(this->clock.Now() + this->options.interval,
                     [this] { this->Start(); });
}

void SlowStartProber::RunOnce() {
  const std::vector<std::shared_ptr<const state::ServiceEntry>> services =
      this->catalogue.Services();
  for (const std::shared_ptr<const state::ServiceEntry>& service : services) {
    for (const state::ShardEntry& shard : service->shards) {
      for (const state::ServerId& id : shard.replicas) {
        if (*this->in_flight >= this->options.max_concurrent) return;
        const state::ServerEntry* server = service->FindServer(id);
        if (server != nullptr && this->NeedsProbe(id)) {
          this->SendProbe(*service, shard, *server);
        }
      }
    }
  }
}

bool SlowStartProber::NeedsProbe(const state::ServerId& server) const {
  const std::optional<state::ServerRecord> record = this->servers.Find(server);
  if (!record) return false;
  return record->phase == state::ServerPhase::kUnknown ||
         record->phase == state::ServerPhase::kCold;
}

void SlowStartProber::SendProbe(const state::ServiceEntry& service,
                                const state::ShardEntry& shard,
                                const state::ServerEntry& server) {
  const PermitResult acquired = this->gate.Acquire(server, WorkKind::kProbe);
  if (!state::IsOk(acquired)) return;
  const ServerPermit permit = state::ValueOf(acquired);
  state::SubRequest request;
  request.request = {this->origin, this->next_sequence++};
  request.attempt = 1;
  request.service = service.id;
  request.shard = shard.id;
  request.range = {shard.range.begin, shard.range.begin + 1};
  request.server = server.id;
  request.endpoint = server.endpoint;
  request.deadline = permit.granted_at + this->options.deadline;
  request.send_before = permit.valid_until;
  ++*this->in_flight;
  this->backend.Send(
      request, [gate = &this->gate, permit,
                in_flight = this->in_flight](const BackendResult& result) {
        gate->Release(permit, result);
        --*in_flight;
      });
}

}  // namespace banyanknot::coordination
