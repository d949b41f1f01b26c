#include "banyanknot/coordination/routing/tracked_server.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace banyanknot::coordination {
namespace {

/// Assumed reply time of a server before its first reply. Below any real one,
/// so that a new server gets requests and can be measured.
constexpr double kInitialReplyMs = 4;
/// Weight of the newest reply in the moving averages; about the last ten count.
constexpr double kNewestWeight = 0.1;
/// Weight of a reply slower than the average: a server that becomes slow must
/// be detected within a few replies.
constexpr double kSlowerWeight = 0.25;
/// Half-life of the average reply time while a server is idle, so that one that
/// was slow is tried again.
constexpr double kReplyTimeHalfLifeMs = 2'000;
/// A request open for this many average reply times indicates a stall.
constexpr double kStallFactor = 2.5;
/// Shorter delays are ordinary variation.
constexpr state::Duration kMinStall = state::Milliseconds(25);
/// Servers close idle connections after about ten seconds; after this time
/// without a reply a new connection is assumed to be needed.
constexpr state::Duration kConnectionLifetime = state::Milliseconds(8'000);
/// Handshake of a new connection and one round trip.
constexpr state::Duration kNewConnectionCost = state::Milliseconds(8);
/// The first health check follows one round trip after the suspicion. Backs off
/// to about one a second, since each check of a dead server costs a connection.
constexpr state::Duration kInitialCheckDelay = state::Milliseconds(20);
constexpr state::Duration kMaxCheckDelay = state::Milliseconds(800);
constexpr unsigned kMaxDoublings = 6;
/// Longer back-offs count as this one, so that a nonsensical one can't take a
/// server out of use for good.
constexpr state::Duration kMaxBackOff = state::Milliseconds(3'600'000);

}  // namespace

TrackedServer::TrackedServer(state::RegisteredServer record,
                             std::size_t connection_limit)
    : record(std::move(record)),
      connection_limit(connection_limit),
      is_leaving(this->record.is_leaving),
      reply_ms(kInitialReplyMs) {}

void TrackedServer::Update(const state::RegisteredServer& newer,
                           state::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->is_leaving = this->is_leaving || newer.is_leaving;
  if (newer.cold_for.count() > 0) this->cold_until = now + newer.cold_for;
}

void TrackedServer::SetConnectionLimit(std::size_t limit) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->connection_limit = limit;
}

void TrackedServer::SetDomainOut(bool is_out) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->is_domain_out = is_out;
}

void TrackedServer::MarkLeaving() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->is_leaving = true;
}

bool TrackedServer::IsLeaving() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->is_leaving;
}

void TrackedServer::MarkRemoved() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->is_removed = true;
}

void TrackedServer::OnNotice(const ServerNotice& notice, state::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->is_leaving = this->is_leaving || notice.is_leaving;
  this->back_off_until = std::max(this->back_off_until,
                                  now + std::min(notice.back_off, kMaxBackOff));
}

bool TrackedServer::AcceptsRequests(state::TimePoint now) const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return !this->is_leaving && !this->is_removed && !this->is_domain_out &&
         now >= this->back_off_until;
}

std::optional<state::TimePoint> TrackedServer::BackOffEnd(
    state::TimePoint now) const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (now >= this->back_off_until ||
      !this->IsEligibleLocked(this->back_off_until)) {
    return std::nullopt;
  }
  return this->back_off_until;
}

void TrackedServer::Suspect(ServerSuspicion new_suspicion) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->suspicion = new_suspicion;
}

void TrackedServer::ClearSuspicion(state::Duration cold_for,
                                   state::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->suspicion.reset();
  this->consecutive_failures = 0;
  if (cold_for.count() > 0) this->cold_until = now + cold_for;
}

void TrackedServer::SetColdFor(state::Duration cold_for, state::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->cold_until = now + cold_for;
}

bool TrackedServer::IsUsableLocked(state::TimePoint now) const {
  return this->IsEligibleLocked(now) && now >= this->back_off_until;
}

bool TrackedServer::IsEligibleLocked(state::TimePoint now) const {
  return !this->is_leaving && !this->is_removed && !this->is_domain_out &&
         !this->suspicion && now >= this->cold_until;
}

bool TrackedServer::IsUsable(state::TimePoint now) const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->IsUsableLocked(now);
}

bool TrackedServer::NeedsHealthCheck() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->suspicion.has_value() && !this->is_leaving &&
         !this->is_removed && !this->is_domain_out;
}

bool TrackedServer::HasRepliedSince(state::TimePoint since) const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->replied_at >= since;
}

std::optional<state::Duration> TrackedServer::TimeSinceReply(
    state::TimePoint now) const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (this->replied_at == state::TimePoint()) return std::nullopt;
  return now - this->replied_at;
}

bool TrackedServer::IsUnreachable() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->suspicion.has_value() && this->consecutive_failures > 0;
}

std::string_view TrackedServer::SuspicionName() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->suspicion ? NameOf(*this->suspicion) : std::string_view();
}

void TrackedServer::RecordFailedCheck() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  ++this->consecutive_failures;
}

state::TimePoint TrackedServer::NextCheckAt(state::TimePoint now) const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const unsigned doublings =
      std::min(this->consecutive_failures, kMaxDoublings);
  const state::Duration delay =
      std::min(kInitialCheckDelay * (1u << doublings), kMaxCheckDelay);
  return std::max(now + delay, this->back_off_until);
}

bool TrackedServer::IsStallLocked(state::Duration unanswered) const {
  return unanswered > std::max(state::FromFractionalMilliseconds(
                                   this->reply_ms * kStallFactor),
                               kMinStall);
}

state::Duration TrackedServer::StallTimeLocked(state::TimePoint now) const {
  if (this->send_times.empty()) return state::Duration(0);
  const state::Duration oldest = now - this->send_times.front();
  return this->IsStallLocked(oldest) ? oldest : state::Duration(0);
}

double TrackedServer::TypicalReplyMsLocked(state::TimePoint now) const {
  const double idle_ms = state::ToFractionalMilliseconds(
      now - std::max(this->replied_at, this->last_sent_at));
  return std::max(kInitialReplyMs,
                  this->reply_ms * std::exp2(-std::max(0.0, idle_ms) /
                                             kReplyTimeHalfLifeMs));
}

state::Duration TrackedServer::TypicalReplyTime(state::TimePoint now) const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return state::FromFractionalMilliseconds(this->TypicalReplyMsLocked(now));
}

std::optional<ServerObservation> TrackedServer::Observe(
    state::TimePoint now) const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (!this->IsUsableLocked(now) ||
      this->send_times.size() >= this->connection_limit) {
    return std::nullopt;
  }
  ServerObservation observed;
  observed.reply_time =
      state::FromFractionalMilliseconds(this->TypicalReplyMsLocked(now));
  const bool is_connected = now - this->replied_at < kConnectionLifetime;
  observed.added_time =
      (is_connected ? state::Duration(0) : kNewConnectionCost) +
      this->StallTimeLocked(now);
  observed.slots =
      static_cast<double>(std::max<std::size_t>(1, this->record.slots));
  observed.own_requests = static_cast<double>(this->send_times.size());
  if (this->load) {
    const double all =
        static_cast<double>(this->load->running + this->load->waiting);
    observed.others = ObservedRequests{
        std::max(0.0, all - static_cast<double>(this->own_requests_at_report)),
        now - this->load_at};
  }
  observed.failure_share = this->failure_share;
  return observed;
}

bool TrackedServer::TryReserve(state::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (!this->IsUsableLocked(now) ||
      this->send_times.size() >= this->connection_limit) {
    return false;
  }
  this->send_times.push_back(now);
  this->last_sent_at = now;
  return true;
}

void TrackedServer::RecordReplyLocked(state::Duration time, bool is_failure) {
  const double newest_ms = state::ToFractionalMilliseconds(time);
  const double weight =
      newest_ms > this->reply_ms ? kSlowerWeight : kNewestWeight;
  this->reply_ms += weight * (newest_ms - this->reply_ms);
  this->failure_share +=
      kNewestWeight * ((is_failure ? 1 : 0) - this->failure_share);
  this->consecutive_failures = 0;
}

void TrackedServer::Release(AttemptOutcome outcome, state::TimePoint sent_at,
                            state::TimePoint now,
                            const std::optional<ReportedLoad>& new_load) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto found =
      std::find(this->send_times.begin(), this->send_times.end(), sent_at);
  if (found != this->send_times.end()) this->send_times.erase(found);
  if (new_load) {
    this->load = new_load;
    this->load_at = now;
    this->own_requests_at_report = this->send_times.size() + 1;
  }
  const bool has_replied = outcome == AttemptOutcome::kReplied ||
                           outcome == AttemptOutcome::kErred ||
                           outcome == AttemptOutcome::kRefused;
  if (has_replied) this->replied_at = now;
  switch (outcome) {
    case AttemptOutcome::kReplied:
      this->RecordReplyLocked(now - sent_at, false);
      break;
    case AttemptOutcome::kErred:
    case AttemptOutcome::kRefused:
      this->RecordReplyLocked(state::FromFractionalMilliseconds(this->reply_ms),
                              true);
      break;
    case AttemptOutcome::kBroken:
      this->suspicion = ServerSuspicion::kBroken;
      this->failure_share += kNewestWeight * (1 - this->failure_share);
      break;
    case AttemptOutcome::kNotSent:
      this->suspicion = ServerSuspicion::kUnreachable;
      ++this->consecutive_failures;
      break;
    case AttemptOutcome::kTimedOut:
      // A server that has replied to other requests since is slow, not dead.
      if (this->replied_at >= sent_at) {
        this->RecordReplyLocked(now - sent_at, true);
        break;
      }
      // A request sent shortly before its deadline proves no failure.
      if (!this->IsStallLocked(now - sent_at)) break;
      this->suspicion = ServerSuspicion::kSilent;
      ++this->consecutive_failures;
      break;
    case AttemptOutcome::kCancelled:
      break;
  }
}

}  // namespace banyanknot::coordination
