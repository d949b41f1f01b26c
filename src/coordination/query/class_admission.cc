#include "banyanknot/coordination/query/class_admission.h"

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace banyanknot::coordination {
namespace {

using state::ServiceClass;

constexpr state::Duration kServiceRetryAfter = state::Milliseconds(100);
// A query counts as slow if it takes this many times the service's baseline.
constexpr double kSlowFactor = 5;
// The baseline grows by this factor per query, so that it is not a minimum of
// all time.
constexpr double kBaselineDrift = 1.0002;
constexpr double kMinBaselineMs = 1;
constexpr double kProtectedHeadroom = 1.25;
constexpr state::Duration kPeakDecayInterval = state::Milliseconds(50);
constexpr double kPeakDecayFactor = 0.8;

// Returns the share of the host's limit that is available to a class.
constexpr double ShareOf(ServiceClass service_class) {
  switch (service_class) {
    case ServiceClass::kWhole:
      return 1;
    case ServiceClass::kLatencyFirst:
      return 0.9;
    case ServiceClass::kComparison:
      return 0.75;
  }
  return 0.75;
}

constexpr state::Duration RetryAfterOf(ServiceClass service_class) {
  switch (service_class) {
    case ServiceClass::kWhole:
      return state::Milliseconds(100);
    case ServiceClass::kLatencyFirst:
      return state::Milliseconds(250);
    case ServiceClass::kComparison:
      return state::Milliseconds(1'000);
  }
  return state::Milliseconds(1'000);
}

// Returns the load that is always allowed, so that a few concurrent queries of
// the highest class, and one of any other, fit whatever the limit is.
double MinLoadOf(const AdmissionTicket& ticket) {
  const double queries = ticket.service_class == ServiceClass::kWhole ? 4 : 1;
  return queries * ticket.weight;
}

constexpr std::size_t IndexOf(ServiceClass service_class) {
  return static_cast<std::size_t>(service_class);
}

}  // namespace

ClassAdmission::ClassAdmission(const Clock& clock)
    : clock(clock), host(clock.Now()) {}

double ClassAdmission::HostLoad::CompetingLoad(
    ServiceClass service_class) const {
  const std::size_t own = IndexOf(service_class);
  double load = this->in_flight[own];
  for (std::size_t index = 0; index < own; ++index) load += this->peaks[index];
  return load;
}

double ClassAdmission::HostLoad::Total() const {
  return std::accumulate(this->in_flight.begin(), this->in_flight.end(), 0.0);
}

void ClassAdmission::HostLoad::Add(ServiceClass service_class, double weight) {
  const std::size_t index = IndexOf(service_class);
  this->in_flight[index] += weight;
  this->peaks[index] = std::max(this->peaks[index], this->in_flight[index]);
}

void ClassAdmission::HostLoad::DecayPeaks(state::TimePoint now) {
  if (now - this->decayed_at < kPeakDecayInterval) return;
  this->decayed_at = now;
  for (std::size_t index = 0; index < kClasses; ++index) {
    this->peaks[index] =
        std::max(this->in_flight[index], this->peaks[index] * kPeakDecayFactor);
  }
}

AdmissionResult ClassAdmission::Admit(const state::ServiceEntry& service) {
  if (!this->TryAcquireServiceSlot(service)) {
    return AdmissionRefusal{"the service has too many queries in flight",
                            kServiceRetryAfter};
  }
  AdmissionTicket ticket{service.id, service.service_class,
                         static_cast<std::uint32_t>(service.shards.size())};
  if (this->TryAcquireHostCapacity(ticket)) return ticket;
  this->ReleaseServiceSlot(service.id);
  return AdmissionRefusal{"overload: queries of this class are shed",
                          RetryAfterOf(service.service_class)};
}

bool ClassAdmission::TryAcquireServiceSlot(const state::ServiceEntry& service) {
  const std::uint32_t limit = service.limits.max_in_flight;
  return this->services.Update(service.id, [limit](ServiceLoad& load) {
    if (load.in_flight >= limit) return false;
    ++load.in_flight;
    return true;
  });
}

void ClassAdmission::ReleaseServiceSlot(const state::ServiceId& service) {
  this->services.Update(service, [](ServiceLoad& load) { --load.in_flight; });
}

bool ClassAdmission::TryAcquireHostCapacity(const AdmissionTicket& ticket) {
  const state::TimePoint now = this->clock.Now();
  const std::lock_guard<std::mutex> lock(this->host.mutex);
  this->host.DecayPeaks(now);
  const double load = this->host.CompetingLoad(ticket.service_class);
  const double allowed =
      std::max(this->host.limit.Value() * ShareOf(ticket.service_class),
               MinLoadOf(ticket));
  if (load + ticket.weight > allowed) return false;
  this->host.Add(ticket.service_class, ticket.weight);
  return true;
}

Congestion ClassAdmission::ClassifyCongestion(
    const AdmissionTicket& ticket, const QueryCompletion& completion) {
  const bool is_answered = completion.outcome == state::Outcome::kOk;
  const double elapsed_ms = std::max(
      kMinBaselineMs, state::ToFractionalMilliseconds(completion.elapsed));
  const bool is_slow = this->services.Update(
      ticket.service, [is_answered, elapsed_ms](ServiceLoad& load) {
        --load.in_flight;
        if (!is_answered) return false;
        const double drifted = load.baseline_ms * kBaselineDrift;
        load.baseline_ms =
            drifted > 0 ? std::min(drifted, elapsed_ms) : elapsed_ms;
        return elapsed_ms > kSlowFactor * load.baseline_ms;
      });
  if (completion.shed_replies > 0 ||
      completion.outcome == state::Outcome::kDeadline) {
    return Congestion::kTimedOutOrShed;
  }
  return is_slow ? Congestion::kSlow : Congestion::kNone;
}

void ClassAdmission::OnFinished(const AdmissionTicket& ticket,
                                const QueryCompletion& completion) {
  const Congestion congestion = this->ClassifyCongestion(ticket, completion);
  const state::TimePoint now = this->clock.Now();
  const std::lock_guard<std::mutex> lock(this->host.mutex);
  const double total = this->host.Total();
  const double highest = this->host.in_flight[IndexOf(ServiceClass::kWhole)];
  // While lower classes contribute to the load, shedding them must relieve the
  // congestion, so the limit stays above the load of the highest class.
  const double protected_load =
      total > highest ? highest * kProtectedHeadroom : 0;
  this->host.limit.RecordCompletion(now, congestion, total, protected_load);
  this->host.in_flight[IndexOf(ticket.service_class)] -= ticket.weight;
}

}  // namespace banyanknot::coordination
