#include "load_generator.h"

#include <algorithm>
#include <utility>

#include "banyanknot/protocol/caller_codec.h"

namespace banyanknot::standins {
namespace {

using nlohmann::json;

constexpr std::size_t kThreads = 2;
constexpr unsigned kHttpOk = 200;
constexpr unsigned kHttpNotFound = 404;
constexpr int kMostAsks = 4;  ///< of one action whose answer is lost
constexpr state::Duration kAnswerSlack = state::Milliseconds(1'500);
constexpr state::Duration kTicketTimeout = state::Milliseconds(1'000);
const char* const kTicketPath = "/v1/tickets";
const char* const kActionPath = "/v1/actions";

CheckedAnswer CheckResult(const LoadItem& item,
                          const transport::HttpCallResult& result) {
  CheckedAnswer checked;
  if (state::IsOk(result)) {
    return CheckAnswer(item, state::ValueOf(result).body);
  }
  const transport::TransportError error = state::ErrorOf(result);
  checked.outcome = std::string(NameOf(error));
  checked.verdict = error == transport::TransportError::kConnect
                        ? Verdict::kNotRun
                        : Verdict::kCut;
  return checked;
}

CheckedAnswer NotRun(const std::string& outcome) {
  CheckedAnswer checked;
  checked.verdict = Verdict::kNotRun;
  checked.outcome = outcome;
  return checked;
}

}  // namespace

struct LoadGenerator::Action {
  std::size_t index = 0;
  state::TimePoint due;
  std::uint64_t key = 0;
  json ask;
  std::string ticket;
  int asked = 0;
};

LoadGenerator::LoadGenerator(const LoadSettings& settings,
                             const std::vector<state::Endpoint>& hosts)
    : settings(settings),
      random(settings.seed),
      threads(kThreads),
      timers(threads.Context()),
      balancer(std::make_shared<HostBalancer>(
          threads.Context(), clock, timers, hosts,
          settings.connections_per_host, settings.ready_poll)) {
  for (std::size_t index = 0; index < settings.mix.size(); ++index) {
    this->tallies.push_back(std::make_unique<LoadTally>());
  }
}

LoadGenerator::~LoadGenerator() {
  this->Stop();
  this->balancer->Stop();
  this->threads.Stop();
}

void LoadGenerator::Start() {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->is_stopping = false;
  }
  this->balancer->Start();
  this->SendNext(this->clock.Now());
}

void LoadGenerator::Stop() {
  std::unique_lock<std::mutex> lock(this->mutex);
  this->is_stopping = true;
  this->ended.wait(lock, [this] { return this->in_flight == 0; });
}

LoadReport LoadGenerator::Report(const json& runs) const {
  LoadReport total;
  for (const LoadReport& report : this->ReportByItem()) total.Add(report);
  this->journal.Check(runs, total);
  return total;
}

std::vector<LoadReport> LoadGenerator::ReportByItem() const {
  std::vector<LoadReport> reports;
  for (const std::unique_ptr<LoadTally>& tally : this->tallies) {
    reports.push_back(tally->Report());
  }
  return reports;
}

void LoadGenerator::SendNext(state::TimePoint due) {
  std::size_t index = 0;
  state::TimePoint next = due;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->is_stopping) return;
    ++this->in_flight;
    std::exponential_distribution<double> gap(
        static_cast<double>(this->settings.rate));
    next += std::chrono::duration_cast<state::Duration>(
        std::chrono::duration<double>(gap(this->random)));
    index = this->DrawItem();
  }
  this->tallies[index]->OnSent();
  this->timers.RunAt(next, [this, next] { this->SendNext(next); });
  if (this->settings.mix[index].is_action) {
    this->SendAction(index, due);
  } else {
    this->SendQuery(index, due);
  }
}

std::size_t LoadGenerator::DrawItem() {
  std::vector<double> weights;
  for (const LoadItem& item : this->settings.mix) {
    weights.push_back(static_cast<double>(item.weight));
  }
  std::discrete_distribution<std::size_t> draw(weights.begin(), weights.end());
  return draw(this->random);
}

transport::HttpCall LoadGenerator::MakeCall(const std::string& target,
                                            const json& body,
                                            state::Duration allowed) const {
  transport::HttpCall call(transport::AcceptAnyResponse);
  call.request = {"POST", target, body.dump()};
  call.deadline = this->clock.Now() + allowed;
  call.send_before = call.deadline;
  return call;
}

void LoadGenerator::SendQuery(std::size_t index, state::TimePoint due) {
  const LoadItem& item = this->settings.mix[index];
  json body = {{"service", item.service},
               {"deadline_ms", state::ToMilliseconds(item.deadline)},
               {"ask", {{"item", item.name}}}};
  if (item.coverage_floor > 0) body["coverage_floor"] = item.coverage_floor;
  this->balancer->Call(
      this->MakeCall(protocol::kQueryPath, body, item.deadline + kAnswerSlack),
      [this, index, due](const transport::HttpCallResult& result) {
        this->Finish(index, CheckResult(this->settings.mix[index], result),
                     due);
      });
}

void LoadGenerator::SendAction(std::size_t index, state::TimePoint due) {
  const LoadItem& item = this->settings.mix[index];
  const std::shared_ptr<Action> action = std::make_shared<Action>();
  action->index = index;
  action->due = due;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    action->key = item.key_space.begin + this->random() % item.key_space.Size();
    action->ask = {{"action", std::to_string(this->settings.seed) + "-" +
                                  std::to_string(this->next_action++)}};
  }
  this->FetchTicket(action);
}

void LoadGenerator::FetchTicket(const std::shared_ptr<Action>& action) {
  const LoadItem& item = this->settings.mix[action->index];
  this->balancer->Call(
      this->MakeCall(kTicketPath,
                     {{"service", item.service}, {"key", action->key}},
                     kTicketTimeout),
      [this, action](const transport::HttpCallResult& result) {
        json body;
        if (state::IsOk(result) && state::ValueOf(result).status == kHttpOk) {
          body = json::parse(state::ValueOf(result).body, nullptr, false);
        }
        if (!body.is_object() || !body.contains("ticket")) {
          const bool absent = state::IsOk(result) &&
                              state::ValueOf(result).status == kHttpNotFound;
          this->FinishAction(*action,
                             NotRun(absent ? "no_tickets" : "no_ticket"));
          return;
        }
        action->ticket = body["ticket"].get<std::string>();
        this->PostAction(action);
      });
}

void LoadGenerator::PostAction(const std::shared_ptr<Action>& action) {
  const LoadItem& item = this->settings.mix[action->index];
  ++action->asked;
  this->balancer->Call(
      this->MakeCall(kActionPath,
                     {{"ticket", action->ticket},
                      {"service", item.service},
                      {"key", action->key},
                      {"deadline_ms", state::ToMilliseconds(item.deadline)},
                      {"ask", action->ask}},
                     item.deadline + kAnswerSlack),
      [this, action](const transport::HttpCallResult& result) {
        this->OnActionResult(action, result);
      });
}

void LoadGenerator::OnActionResult(const std::shared_ptr<Action>& action,
                                   const transport::HttpCallResult& result) {
  const CheckedAnswer checked =
      CheckResult(this->settings.mix[action->index], result);
  const bool is_lost = checked.verdict == Verdict::kCut;
  if (is_lost && action->asked < kMostAsks) {
    this->PostAction(action);
    return;
  }
  this->FinishAction(*action, checked);
}

void LoadGenerator::FinishAction(const Action& action,
                                 const CheckedAnswer& checked) {
  const bool may_have_run =
      action.asked > 1 && checked.verdict == Verdict::kNotRun &&
      checked.outcome == NameOf(transport::TransportError::kConnect);
  CheckedAnswer told = checked;
  if (may_have_run) told.verdict = Verdict::kUnknown;
  this->journal.Record(action.ask.dump(), told.verdict);
  this->Finish(action.index, told, action.due);
}

void LoadGenerator::Finish(std::size_t index, const CheckedAnswer& checked,
                           state::TimePoint due) {
  this->tallies[index]->OnChecked(this->settings.mix[index], checked,
                                  this->clock.Now() - due);
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (--this->in_flight == 0) this->ended.notify_all();
}

}  // namespace banyanknot::standins
