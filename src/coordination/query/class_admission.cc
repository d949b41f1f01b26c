#include "banyanknot/coordination/query/class_admission.h"

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace banyanknot::coordination {
namespace {

using state::ServiceClass;

constexpr state::Duration kServiceRetryAfter = state::Milliseconds(100);
// A query this many times slower than an uncongested one counts as congested.
constexpr double kCongestedSlowdown = 5;
constexpr double kBestTimeDrift = 1.0002;  // by each query
constexpr double kMinBestMs = 1;
constexpr double kProtectedHeadroom = 1.25;
constexpr state::Duration kPeakFadeInterval = state::Milliseconds(50);
constexpr double kPeakFade = 0.8;

// Share of the limit that the load may reach for a class to be admitted.
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

// A few queries at a time of the highest class are never refused.
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

double ClassAdmission::HostLoad::LoadAgainst(ServiceClass service_class) const {
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

void ClassAdmission::HostLoad::FadePeaks(state::TimePoint now) {
  if (now - this->faded_at < kPeakFadeInterval) return;
  this->faded_at = now;
  for (std::size_t index = 0; index < kClasses; ++index) {
    this->peaks[index] =
        std::max(this->in_flight[index], this->peaks[index] * kPeakFade);
  }
}

AdmissionResult ClassAdmission::Admit(const state::ServiceEntry& service) {
  if (!this->TakeServiceSlot(service)) {
    return AdmissionRefusal{"the service has too many queries in flight",
                            kServiceRetryAfter};
  }
  AdmissionTicket ticket{service.id, service.service_class,
                         static_cast<std::uint32_t>(service.shards.size())};
  if (this->TakeHostSlots(ticket)) return ticket;
  this->ReturnServiceSlot(service.id);
  return AdmissionRefusal{"overload: queries of this class are shed",
                          RetryAfterOf(service.service_class)};
}

bool ClassAdmission::TakeServiceSlot(const state::ServiceEntry& service) {
  const std::uint32_t limit = service.limits.max_in_flight;
  return this->services.Update(service.id, [limit](ServiceLoad& load) {
    if (load.in_flight >= limit) return false;
    ++load.in_flight;
    return true;
  });
}

void ClassAdmission::ReturnServiceSlot(const state::ServiceId& service) {
  this->services.Update(service, [](ServiceLoad& load) { --load.in_flight; });
}

bool ClassAdmission::TakeHostSlots(const AdmissionTicket& ticket) {
  const state::TimePoint now = this->clock.Now();
  const std::lock_guard<std::mutex> lock(this->host.mutex);
  this->host.FadePeaks(now);
  const double load = this->host.LoadAgainst(ticket.service_class);
  const double allowed =
      std::max(this->host.limit.Value() * ShareOf(ticket.service_class),
               MinLoadOf(ticket));
  if (load + ticket.weight > allowed) return false;
  this->host.Add(ticket.service_class, ticket.weight);
  return true;
}

Congestion ClassAdmission::JudgeEnding(const AdmissionTicket& ticket,
                                       const QueryEnding& ending) {
  const bool is_answered = ending.outcome == state::Outcome::kOk;
  const double elapsed_ms =
      std::max(kMinBestMs, state::ToFractionalMilliseconds(ending.elapsed));
  const bool is_slow = this->services.Update(
      ticket.service, [is_answered, elapsed_ms](ServiceLoad& load) {
        --load.in_flight;
        if (!is_answered) return false;
        const double drifted = load.best_ms * kBestTimeDrift;
        load.best_ms = drifted > 0 ? std::min(drifted, elapsed_ms) : elapsed_ms;
        return elapsed_ms > kCongestedSlowdown * load.best_ms;
      });
  if (ending.shed_replies > 0 || ending.outcome == state::Outcome::kDeadline) {
    return Congestion::kLost;
  }
  return is_slow ? Congestion::kSlow : Congestion::kNone;
}

void ClassAdmission::OnFinished(const AdmissionTicket& ticket,
                                const QueryEnding& ending) {
  const Congestion congestion = this->JudgeEnding(ticket, ending);
  const state::TimePoint now = this->clock.Now();
  const std::lock_guard<std::mutex> lock(this->host.mutex);
  const double total = this->host.Total();
  const double highest = this->host.in_flight[IndexOf(ServiceClass::kWhole)];
  // While lower classes share the load, the congestion is theirs to relieve.
  const double protected_load =
      total > highest ? highest * kProtectedHeadroom : 0;
  this->host.limit.Observe(now, congestion, total, protected_load);
  this->host.in_flight[IndexOf(ticket.service_class)] -= ticket.weight;
}

}  // namespace banyanknot::coordination
