#include "platform/edge/soak_caller.h"

#include <chrono>
#include <cstdio>
#include <thread>
#include <utility>

#include "platform/wire_names.h"

namespace banyanknot::platform::edge_testing {
namespace {

constexpr unsigned kOk = 200;
/// Maximum time to a response of a running edge: the 2 s deadline of RawCaller,
/// doubled for a machine under load.
constexpr std::chrono::milliseconds kMaxResponseTime(4'000);
constexpr std::chrono::milliseconds kPauseBetweenCalls(2);
/// One call in this many opens a new connection.
constexpr std::uint64_t kNewConnectionOneIn = 16;

/// Returns an id of 16 bytes, so that it can serve as one record of a gather.
std::string RequestIdOf(unsigned caller, std::uint64_t call) {
  char text[24];
  std::snprintf(text, sizeof(text), "%06x%010llx", caller,
                static_cast<unsigned long long>(call));
  return text;
}

std::size_t CountOccurrences(const std::string& text, const std::string& part) {
  std::size_t count = 0;
  for (std::size_t at = text.find(part); at != std::string::npos;
       at = text.find(part, at + part.size())) {
    ++count;
  }
  return count;
}

}  // namespace

SoakCaller::SoakCaller(std::uint64_t seed, unsigned number,
                       std::vector<std::shared_ptr<SoakTarget>> targets)
    : random(seed), number(number), targets(std::move(targets)) {}

void SoakCaller::Run(const std::atomic<bool>& is_done) {
  while (!is_done) {
    this->CallOnce();
    std::this_thread::sleep_for(kPauseBetweenCalls);
  }
}

void SoakCaller::RecordViolation(const std::string& id,
                                 const std::string& violation) {
  this->observations.violations.push_back(id + ": " + violation);
}

void SoakCaller::CallOnce() {
  if (this->connection == nullptr ||
      this->random() % kNewConnectionOneIn == 0) {
    this->target = this->targets[this->random() % this->targets.size()];
    this->connection = std::make_unique<RawCaller>(this->target->callers);
  }
  const Kind kind = static_cast<Kind>(this->random() % 3);
  const std::string id = RequestIdOf(this->number, ++this->calls);
  const SoakTargetCounts before(*this->target);
  const std::chrono::steady_clock::time_point start =
      std::chrono::steady_clock::now();
  const std::optional<RawCaller::Response> response = this->Send(kind, id);
  const bool is_overdue =
      std::chrono::steady_clock::now() - start > kMaxResponseTime;
  const SoakTargetCounts after(*this->target);
  if (is_overdue &&
      !SoakTargetCounts::IsDisturbed(before.pauses, after.pauses) &&
      !SoakTargetCounts::IsDisturbed(before.kills, after.kills)) {
    this->RecordViolation(id, "no response in time");
  }
  if (response) {
    this->Check(kind, id, *response);
    if (!response->keep_alive()) this->connection.reset();
  } else {
    this->RecordLostConnection(id, before, after);
    this->connection.reset();
  }
}

std::optional<RawCaller::Response> SoakCaller::Send(Kind kind,
                                                    const std::string& id) {
  switch (kind) {
    case Kind::kRelay:
      return this->connection->Call("/desk/1", id);
    case Kind::kOnce:
      this->observations.at_most_once.push_back(id);
      return this->connection->Call("/once/1", id, "POST", "pay");
    case Kind::kGather:
      return this->connection->Call("/all/1", id);
  }
  return std::nullopt;
}

void SoakCaller::RecordLostConnection(const std::string& id,
                                      const SoakTargetCounts& before,
                                      const SoakTargetCounts& after) {
  ++this->observations.statuses[0];
  if (SoakTargetCounts::IsDisturbed(before.kills, after.kills) ||
      SoakTargetCounts::IsDisturbed(before.pauses, after.pauses)) {
    return;
  }
  if (SoakTargetCounts::IsDisturbed(before.stops, after.stops)) {
    // Allowed if no server ran the request.
    this->observations.lost_in_stop.push_back(id);
  } else {
    this->RecordViolation(id, "connection lost without a fault of the edge");
  }
}

void SoakCaller::Check(Kind kind, const std::string& id,
                       const RawCaller::Response& response) {
  const unsigned status = response.result_int();
  ++this->observations.statuses[status];
  switch (status) {
    case kOk:
      this->CheckSuccess(kind, id, response);
      break;
    case 503:
      this->observations.not_run.push_back(id);
      if (response[wire::kRetryAfter].empty()) {
        this->RecordViolation(id, "503 without Retry-After");
      }
      break;
    case 500:  // from a server
    case 502:
    case 504:
      break;
    default:
      this->RecordViolation(id, "status " + std::to_string(status));
  }
}

void SoakCaller::CheckSuccess(Kind kind, const std::string& id,
                              const RawCaller::Response& response) {
  if (kind != Kind::kGather) {
    const std::string signature(response[wire::kSignature]);
    if (signature != "d1/" + id && signature != "d2/" + id) {
      this->RecordViolation(id, "signed " + signature);
    }
    if (response.body() != id + " done") {
      this->RecordViolation(id, "body " + response.body());
    }
    return;
  }
  const std::string signatures(response[wire::kPartSignatures]);
  const std::size_t parts = CountOccurrences(signatures, "/" + id);
  const std::string missing(response[wire::kMissingParts]);
  if (parts == 0 || std::to_string(2 - parts) != missing) {
    this->RecordViolation(id, "parts " + signatures + ", missing " + missing);
  }
  if (CountOccurrences(response.body(), id) != parts ||
      response.body().size() != parts * id.size()) {
    this->RecordViolation(id, "merged body " + response.body());
  }
}

}  // namespace banyanknot::platform::edge_testing
