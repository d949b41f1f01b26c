#include "platform/edge/soak_caller.h"

#include <chrono>
#include <cstdio>
#include <thread>
#include <utility>

#include "platform/wire_names.h"

namespace banyanknot::platform::edge_testing {
namespace {

constexpr unsigned kOk = 200;
/// Longest time to an answer on an edge that runs: RawCaller's deadline and as
/// much again, for a machine that is busy.
constexpr std::chrono::milliseconds kLatest(4'000);
constexpr std::chrono::milliseconds kPause(2);  // between calls
/// One call in so many is made on a new connection.
constexpr std::uint64_t kNewConnectionOneIn = 16;

/// Sixteen bytes, so that the id is one record of a gather.
std::string IdOf(unsigned caller, std::uint64_t call) {
  char text[24];
  std::snprintf(text, sizeof(text), "%06x%010llx", caller,
                static_cast<unsigned long long>(call));
  return text;
}

std::size_t CountOf(const std::string& text, const std::string& part) {
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

void SoakCaller::Run(const std::atomic<bool>& is_over) {
  while (!is_over) {
    this->CallOnce();
    std::this_thread::sleep_for(kPause);
  }
}

void SoakCaller::Break(const std::string& id, const std::string& what) {
  this->seen.broken.push_back(id + ": " + what);
}

void SoakCaller::CallOnce() {
  if (this->connection == nullptr ||
      this->random() % kNewConnectionOneIn == 0) {
    this->target = this->targets[this->random() % this->targets.size()];
    this->connection = std::make_unique<RawCaller>(this->target->callers);
  }
  const Kind kind = static_cast<Kind>(this->random() % 3);
  const std::string id = IdOf(this->number, ++this->calls);
  const SoakMoment before(*this->target);
  const std::chrono::steady_clock::time_point start =
      std::chrono::steady_clock::now();
  const std::optional<RawCaller::Response> response = this->Send(kind, id);
  const bool is_late = std::chrono::steady_clock::now() - start > kLatest;
  const SoakMoment after(*this->target);
  if (is_late && !SoakMoment::IsDisturbed(before.pauses, after.pauses) &&
      !SoakMoment::IsDisturbed(before.kills, after.kills)) {
    this->Break(id, "no answer in time");
  }
  if (response) {
    this->Check(kind, id, *response);
    if (!response->keep_alive()) this->connection.reset();
  } else {
    this->NoteCut(id, before, after);
    this->connection.reset();
  }
}

std::optional<RawCaller::Response> SoakCaller::Send(Kind kind,
                                                    const std::string& id) {
  switch (kind) {
    case Kind::kRelay:
      return this->connection->Ask("/desk/1", id);
    case Kind::kOnce:
      this->seen.once.push_back(id);
      return this->connection->Ask("/once/1", id, "POST", "pay");
    case Kind::kGather:
      return this->connection->Ask("/all/1", id);
  }
  return std::nullopt;
}

void SoakCaller::NoteCut(const std::string& id, const SoakMoment& before,
                         const SoakMoment& after) {
  ++this->seen.statuses[0];
  if (SoakMoment::IsDisturbed(before.kills, after.kills) ||
      SoakMoment::IsDisturbed(before.pauses, after.pauses)) {
    return;
  }
  if (SoakMoment::IsDisturbed(before.stops, after.stops)) {
    this->seen.cut_in_stop.push_back(id);  // right if it was not passed on
  } else {
    this->Break(id, "cut by an edge that runs");
  }
}

void SoakCaller::Check(Kind kind, const std::string& id,
                       const RawCaller::Response& response) {
  const unsigned status = response.result_int();
  ++this->seen.statuses[status];
  switch (status) {
    case kOk:
      this->CheckSuccess(kind, id, response);
      break;
    case 503:
      this->seen.not_run.push_back(id);
      if (response[wire::kRetryAfter].empty()) {
        this->Break(id, "refused without a time to come back");
      }
      break;
    case 500:  // of a server
    case 502:
    case 504:
      break;
    default:
      this->Break(id, "status " + std::to_string(status));
  }
}

void SoakCaller::CheckSuccess(Kind kind, const std::string& id,
                              const RawCaller::Response& response) {
  if (kind != Kind::kGather) {
    const std::string signature(response[wire::kSignature]);
    if (signature != "d1/" + id && signature != "d2/" + id) {
      this->Break(id, "signed " + signature);
    }
    if (response.body() != id + " done") {
      this->Break(id, "body " + response.body());
    }
    return;
  }
  const std::string signatures(response[wire::kPartSignatures]);
  const std::size_t parts = CountOf(signatures, "/" + id);
  const std::string missing(response[wire::kMissingParts]);
  if (parts == 0 || std::to_string(2 - parts) != missing) {
    this->Break(id, "parts " + signatures + ", missing " + missing);
  }
  if (CountOf(response.body(), id) != parts ||
      response.body().size() != parts * id.size()) {
    this->Break(id, "merged body " + response.body());
  }
}

}  // namespace banyanknot::platform::edge_testing
