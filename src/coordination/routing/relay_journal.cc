#include "banyanknot/coordination/routing/relay_journal.h"

#include <algorithm>
#include <limits>
#include <string>
#include <utility>

namespace banyanknot::coordination {
namespace {

/// Keeps logging below 5% of the processor time that requests take.
constexpr unsigned kMaxLogLinesPerSecond = 40;
/// One in this many successful requests is logged.
constexpr std::uint64_t kSuccessSampleInterval = 64;

std::size_t IndexOf(state::RelayOutcome outcome) {
  return static_cast<std::size_t>(outcome);
}

bool IsSuccess(state::RelayOutcome outcome) {
  return outcome == state::RelayOutcome::kAnswered ||
         outcome == state::RelayOutcome::kWhole;
}

}  // namespace

bool RelayJournal::MayLog(state::RelayOutcome outcome, state::TimePoint now) {
  constexpr std::int64_t kMillisecondsPerSecond = 1'000;
  const std::int64_t second =
      state::ToMilliseconds(now.time_since_epoch()) / kMillisecondsPerSecond;
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (second != this->log_second) {
    this->log_second = second;
    this->logged_in_second = 0;
  }
  if (IsSuccess(outcome) && this->successes++ % kSuccessSampleInterval != 0) {
    return false;
  }
  if (this->logged_in_second >= kMaxLogLinesPerSecond) {
    ++this->unlogged;
    return false;
  }
  ++this->logged_in_second;
  return true;
}

void RelayJournal::Count(state::RelayOutcome outcome, state::Duration time) {
  const std::int64_t milliseconds = state::ToMilliseconds(time);
  const auto bucket =
      std::lower_bound(kBoundsMs.begin(), kBoundsMs.end(), milliseconds);
  const std::lock_guard<std::mutex> lock(this->mutex);
  ++this->outcome_counts[IndexOf(outcome)];
  ++this->duration_counts[static_cast<std::size_t>(bucket - kBoundsMs.begin())];
  this->total_seconds += std::chrono::duration<double>(time).count();
}

void RelayJournal::RecordAnswer(const RelayRun& run, const RelayAnswer& answer,
                                state::TimePoint now) {
  const state::Duration time = now - run.Request().received_at;
  const RelayCounts& counts = run.Counts();
  this->Count(answer.outcome, time);
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->totals.parts += counts.parts;
    this->totals.parts_in += counts.parts_in;
    this->totals.sent += counts.sent;
    this->totals.extra += counts.extra;
    this->totals.unsent += counts.unsent;
    this->totals.refused += counts.refused;
    this->totals.erred += counts.erred;
  }
  if (!this->MayLog(answer.outcome, now)) return;
  this->log.Write(
      IsSuccess(answer.outcome) ? EventCode::kRequestAnswered
                                : EventCode::kRequestNotWhole,
      {{"request", run.Request().id},
       {"route", run.Route().name},
       {"version", std::to_string(run.Version())},
       {"outcome", std::string(NameOf(answer.outcome))},
       {"reason", std::string(NameOf(answer.reason))},
       {"status", std::to_string(answer.reply.status)},
       {"ms", std::to_string(state::ToMilliseconds(time))},
       {"deadline_ms",
        std::to_string(state::ToMilliseconds(run.Request().deadline))},
       {"parts", std::to_string(counts.parts)},
       {"parts_needed", std::to_string(counts.min_parts)},
       {"parts_in", std::to_string(counts.parts_in)},
       {"sent", std::to_string(counts.sent)},
       {"extra", std::to_string(counts.extra)},
       {"unsent", std::to_string(counts.unsent)},
       {"refused", std::to_string(counts.refused)},
       {"erred", std::to_string(counts.erred)},
       {"expected_wait_ms",
        std::to_string(state::ToMilliseconds(run.EstimatedQueueingDelay()))},
       {"retry_after_ms",
        std::to_string(state::ToMilliseconds(answer.retry_after))},
       {"missing", run.DescribeMissing()}});
}

void RelayJournal::RecordRefusal(const state::RelayRequest& request,
                                 state::RelayOutcome outcome,
                                 const state::RouteTablePtr& table,
                                 state::TimePoint now) {
  this->Count(outcome, now - request.received_at);
  if (!this->MayLog(outcome, now)) return;
  this->log.Write(
      EventCode::kRequestNotWhole,
      {{"request", request.id},
       {"version", std::to_string(table == nullptr ? 0 : table->Version())},
       {"outcome", std::string(NameOf(outcome))},
       {"host", request.host},
       {"target", request.target}});
}

void RelayJournal::CollectMetrics(std::vector<MetricSample>& samples) const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  for (const state::EnumName<state::RelayOutcome>& row :
       state::kRelayOutcomeNames) {
    samples.push_back(
        {"banyanknot_relay_requests_total",
         "Requests by how they ended.",
         MetricKind::kCounter,
         {{"outcome", std::string(row.name)}},
         static_cast<double>(this->outcome_counts[IndexOf(row.value)])});
  }
  MetricSample durations{"banyanknot_relay_request_duration_seconds",
                         "Time from a request to its answer.",
                         MetricKind::kHistogram,
                         {},
                         this->total_seconds,
                         {}};
  std::uint64_t below = 0;
  for (std::size_t index = 0; index < this->duration_counts.size(); ++index) {
    below += this->duration_counts[index];
    const double bound = index < kBoundsMs.size()
                             ? std::chrono::duration<double>(
                                   state::Milliseconds(kBoundsMs[index]))
                                   .count()
                             : std::numeric_limits<double>::infinity();
    durations.buckets.push_back({bound, below});
  }
  samples.push_back(std::move(durations));
  const auto add = [&samples](const char* name, const char* help,
                              double value) {
    samples.push_back({name, help, MetricKind::kCounter, {}, value});
  };
  add("banyanknot_relay_server_requests_total", "Requests sent to servers.",
      static_cast<double>(this->totals.sent));
  add("banyanknot_relay_extra_server_requests_total",
      "Hedges and retries among the requests to servers.",
      static_cast<double>(this->totals.extra));
  add("banyanknot_relay_unsent_server_requests_total",
      "Requests to servers for which no connection was made.",
      static_cast<double>(this->totals.unsent));
  add("banyanknot_relay_refused_server_requests_total",
      "Requests that servers refused as not run.",
      static_cast<double>(this->totals.refused));
  add("banyanknot_relay_erred_server_requests_total",
      "Requests to servers that ended in a failure or in nothing.",
      static_cast<double>(this->totals.erred));
  add("banyanknot_relay_unlogged_requests_total",
      "Requests left out of the log to bound its volume.",
      static_cast<double>(this->unlogged));
}

}  // namespace banyanknot::coordination
