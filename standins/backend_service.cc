#include "backend_service.h"

#include <algorithm>
#include <utility>

#include "banyanknot/protocol/backend_codec.h"
#include "banyanknot/protocol/caller_codec.h"
#include "banyanknot/protocol/json_reader.h"

namespace banyanknot::standins {
namespace {

constexpr std::size_t kMaxCancelBytes = 4096;
constexpr std::uint64_t kMaxAttempt = 0xFFFFFFFF;

}  // namespace

BackendService::BackendService(const coordination::Clock& clock,
                               coordination::TimerService& timers,
                               ActionLedger& ledger,
                               const BackendBehaviour& behaviour)
    : clock(clock),
      timers(timers),
      ledger(ledger),
      behaviour(behaviour),
      snapshots(this->behaviour.snapshots),
      cold_start(this->behaviour.cold_start, clock.Now()),
      random(behaviour.seed),
      start_text(std::to_string(clock.Now().time_since_epoch().count())) {
  this->published = this->CurrentReport(clock.Now());
}

void BackendService::Handle(std::shared_ptr<transport::HttpExchange> exchange) {
  const std::string& target = exchange->Request().target;
  if (target == protocol::kSubRequestPath) {
    this->HandleSubRequest(exchange);
  } else if (target == protocol::kHealthPath) {
    state::ServerReport report;
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      report = this->LaggingReport(this->clock.Now());
    }
    exchange->Respond({200, protocol::EncodeServerReport(report)});
  } else if (target == protocol::kCancelPath) {
    this->HandleCancel(exchange);
  } else {
    exchange->Respond({404, "{}"});
  }
}

std::optional<protocol::ProtocolError> BackendService::Change(
    const nlohmann::json& value) {
  const state::TimePoint now = this->clock.Now();
  const std::lock_guard<std::mutex> lock(this->mutex);
  BackendBehaviour changed = this->behaviour;
  std::optional<protocol::ProtocolError> error = ApplyBehaviour(value, changed);
  if (error) return error;
  if (changed.draining && !this->behaviour.draining) {
    this->draining_since = now;
  }
  this->behaviour = std::move(changed);
  if (value.value("turn_cold", false)) this->cold_start.TurnCold(now);
  return std::nullopt;
}

BackendBehaviour BackendService::Behaviour() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->behaviour;
}

BackendCounters BackendService::Counters() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  BackendCounters result = this->counters;
  result.cold = this->cold_start.Counters();
  result.is_cold = this->cold_start.IsCold(this->clock.Now());
  result.running = this->slots.Running();
  result.queued = this->slots.Queued();
  return result;
}

void BackendService::HandleSubRequest(
    const std::shared_ptr<transport::HttpExchange>& exchange) {
  const state::TimePoint now = this->clock.Now();
  const state::Result<state::SubRequest, protocol::ProtocolError> request =
      protocol::DecodeSubRequest(exchange->Request().body, now);
  if (!state::IsOk(request)) {
    exchange->Respond(protocol::EncodeInvalid(state::ErrorOf(request)));
    return;
  }
  const std::shared_ptr<Job> job = std::make_shared<Job>();
  job->request = state::ValueOf(request);
  job->exchange = exchange;
  const state::Duration latency = this->LatencyOf(*job);
  if (latency.count() == 0) {
    this->Arrive(job);
  } else {
    this->timers.RunAt(now + latency, [this, job] { this->Arrive(job); });
  }
}

void BackendService::Arrive(const std::shared_ptr<Job>& job) {
  std::optional<state::ReplyStatus> refusal;
  {
    const state::TimePoint now = this->clock.Now();
    const std::lock_guard<std::mutex> lock(this->mutex);
    ++this->counters.received;
    this->counters.last_received = now;
    refusal = this->RefusalOf(job->request, now);
    if (!refusal) {
      job->generation = this->cold_start.Generation();
      this->slots.Enqueue(job);
      this->cold_start.OnArrival(this->slots.InProgress(job->generation), now);
    }
  }
  if (refusal) {
    this->Reply(job, *refusal);
    return;
  }
  this->StartJobs();
}

std::optional<state::ReplyStatus> BackendService::RefusalOf(
    const state::SubRequest& request, state::TimePoint now) {
  std::optional<state::ReplyStatus> refusal;
  if (this->behaviour.draining) {
    refusal = state::ReplyStatus::kDraining;
  } else if (!this->HoldsRange(request)) {
    refusal = state::ReplyStatus::kWrongShard;
  } else if (request.snapshot != 0 &&
             !this->snapshots.Holds(request.snapshot, now)) {
    refusal = state::ReplyStatus::kSnapshotMissing;
  } else if (this->slots.Queued() >= this->behaviour.max_queue) {
    ++this->counters.shed;
    return state::ReplyStatus::kShed;
  }
  if (refusal) ++this->counters.refused;
  return refusal;
}

bool BackendService::HoldsRange(const state::SubRequest& request) const {
  if (this->behaviour.shards.empty()) return true;
  return std::any_of(this->behaviour.shards.begin(),
                     this->behaviour.shards.end(),
                     [&request](const HeldShard& held) {
                       return held.service == request.service.Text() &&
                              held.shard == request.shard &&
                              held.range.Contains(request.range);
                     });
}

void BackendService::StartJobs() {
  while (true) {
    const state::TimePoint now = this->clock.Now();
    std::shared_ptr<Job> job;
    state::TimePoint ends_at;
    state::ReplyStatus status = state::ReplyStatus::kOk;
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      job = this->slots.StartNext(this->behaviour.slots);
      if (job == nullptr) return;
      if (now >= job->request.deadline) {
        ++this->counters.expired;
        this->slots.Finish(job);
        status = state::ReplyStatus::kDeadline;
      } else {
        ++this->counters.started;
        ends_at = now + this->DrawServiceTime(now);
      }
    }
    if (status == state::ReplyStatus::kDeadline) {
      this->Reply(job, status);
      continue;
    }
    if (!job->request.is_idempotent) {
      this->ledger.Record(job->request.ask);
    } else if (ends_at > job->request.deadline) {
      ends_at = job->request.deadline;
      status = state::ReplyStatus::kDeadline;
    }
    this->timers.RunAt(ends_at,
                       [this, job, status] { this->End(job, status); });
  }
}

state::Duration BackendService::DrawServiceTime(state::TimePoint now) {
  const ServiceTime& service_time = this->behaviour.service_time;
  std::uniform_real_distribution<double> unit(0.0, 1.0);
  std::uint64_t factor =
      service_time.slow_factor * this->cold_start.SlowFactor(now);
  const double spread = 0.5 + unit(this->random);
  if (unit(this->random) < service_time.straggler_share) {
    factor *= service_time.straggler_factor;
  }
  return std::chrono::duration_cast<state::Duration>(
      service_time.mean * (spread * static_cast<double>(factor)));
}

void BackendService::End(const std::shared_ptr<Job>& job,
                         state::ReplyStatus status) {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (!this->slots.Finish(job)) return;
    if (status == state::ReplyStatus::kOk) ++this->counters.finished;
    if (status == state::ReplyStatus::kDeadline) ++this->counters.expired;
    if (status == state::ReplyStatus::kCancelled) ++this->counters.cancelled;
  }
  this->Reply(job, status);
  this->StartJobs();
}

void BackendService::HandleCancel(
    const std::shared_ptr<transport::HttpExchange>& exchange) {
  const state::Result<nlohmann::json, protocol::ProtocolError> parsed =
      protocol::ParseJson(exchange->Request().body, kMaxCancelBytes);
  if (!state::IsOk(parsed)) {
    exchange->Respond(protocol::EncodeInvalid(state::ErrorOf(parsed)));
    return;
  }
  protocol::JsonReader reader(state::ValueOf(parsed), "");
  const std::optional<state::RequestId> request =
      state::RequestIdFromText(reader.String("request"));
  const std::uint32_t attempt =
      static_cast<std::uint32_t>(reader.Unsigned("attempt", kMaxAttempt));
  std::shared_ptr<Job> job;
  if (request) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    job = this->slots.Find(*request, attempt);
    if (job != nullptr && !job->request.is_idempotent && job->is_running) {
      job = nullptr;
    }
  }
  exchange->Respond({200, "{}"});
  if (job != nullptr) this->End(job, state::ReplyStatus::kCancelled);
}

void BackendService::Reply(const std::shared_ptr<Job>& job,
                           state::ReplyStatus status) {
  state::SubReply reply;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    reply = this->MakeReply(*job, status);
  }
  const state::Duration latency = this->LatencyOf(*job);
  if (latency.count() == 0) {
    job->exchange->Respond({200, protocol::EncodeSubReply(reply)});
    return;
  }
  this->timers.RunAt(
      this->clock.Now() + latency, [job, reply = std::move(reply)] {
        job->exchange->Respond({200, protocol::EncodeSubReply(reply)});
      });
}

state::SubReply BackendService::MakeReply(const Job& job,
                                          state::ReplyStatus status) {
  const state::TimePoint now = this->clock.Now();
  state::SubReply reply;
  reply.request = job.request.request;
  reply.attempt = job.request.attempt;
  reply.shard = job.request.shard;
  reply.snapshot = job.request.snapshot != 0 ? job.request.snapshot
                                             : this->snapshots.Newest(now);
  reply.covered = job.request.range;
  reply.status = status;
  reply.report = this->LaggingReport(now);
  this->cold_start.OnReply(now);
  if (status == state::ReplyStatus::kOk) {
    reply.records =
        RecordsOf(reply.covered, this->behaviour.key_stride, reply.snapshot);
  }
  return reply;
}

state::ServerReport BackendService::CurrentReport(state::TimePoint now) const {
  state::ServerReport report;
  report.instance =
      state::InstanceId(this->behaviour.id + "#" + this->start_text + "." +
                        std::to_string(this->cold_start.Generation()));
  report.running = this->slots.Running();
  report.queued = this->slots.Queued();
  report.warm = this->behaviour.claims_warm || !this->cold_start.IsCold(now);
  report.leaving = this->behaviour.draining &&
                   now >= this->draining_since + this->behaviour.drain_lag;
  report.oldest_snapshot = this->snapshots.Oldest(now);
  report.newest_snapshot = this->snapshots.Newest(now);
  return report;
}

state::ServerReport BackendService::LaggingReport(state::TimePoint now) {
  const state::ServerReport current = this->CurrentReport(now);
  if (now - this->published_at >= this->behaviour.report_lag) {
    this->published = current;
    this->published_at = now;
  }
  state::ServerReport report = this->published;
  report.instance = current.instance;
  report.leaving = current.leaving;
  report.oldest_snapshot = current.oldest_snapshot;
  report.newest_snapshot = current.newest_snapshot;
  return report;
}

state::Duration BackendService::LatencyOf(const Job& /*job*/) const {
  return state::Duration(0);
}

}  // namespace banyanknot::standins
