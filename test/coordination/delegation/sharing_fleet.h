#ifndef BANYANKNOT_TEST_COORDINATION_DELEGATION_SHARING_FLEET_H_
#define BANYANKNOT_TEST_COORDINATION_DELEGATION_SHARING_FLEET_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "coordination/delegation/host_timers.h"
#include "coordination/delegation/published_log.h"
#include "coordination/routing/relay_fixture.h"

namespace banyanknot::coordination::routing_testing {

/// \brief The source as one host reaches it, or doesn't.
class FakeSource : public RoutingSource {
 public:
  FakeSource(fleet_testing::VirtualTime& time, HostTimers& timers,
             const PublishedLog& log)
      : time(time), timers(timers), log(log) {}

  void ReadAll(RoutingBatchHandler handler) override {
    ++this->reads;
    this->time.RunAt(this->time.Now() + kReplyTime,
                     [this, handler = std::move(handler)] {
                       this->Answer(handler, this->Snapshot());
                     });
  }
  void Watch(const state::SourcePosition& after, state::Duration wait,
             RoutingBatchHandler handler) override {
    ++this->watches;
    this->waits.push_back(wait);
    const std::shared_ptr<bool> is_done = std::make_shared<bool>(false);
    const auto end = [this, after, is_done, handler = std::move(handler)] {
      if (std::exchange(*is_done, true)) return;
      this->Answer(handler, this->ChangesAfter(after));
    };
    // The source doesn't know in which era it is asked for a revision.
    const bool waits =
        this->is_up && this->log.Position().revision == after.revision;
    this->time.RunAt(this->time.Now() + (waits ? wait : kReplyTime), end);
    if (waits) this->waiting.push_back(end);
  }

  /// \brief Answers the open watches, as the source does after a change; those
  /// of a host that it doesn't reach stay open.
  void OnChange() {
    const std::vector<std::function<void()>> open =
        std::exchange(this->waiting, {});
    if (!this->is_up) return;
    for (const std::function<void()>& end : open) end();
  }
  /// \brief Goes down for a moment, so that the open watches fail.
  void CutWatches() {
    const bool was_up = std::exchange(this->is_up, false);
    for (const std::function<void()>& end : std::exchange(this->waiting, {})) {
      end();
    }
    this->is_up = was_up;
  }

  bool is_up = true;
  int reads = 0;
  int watches = 0;
  std::vector<state::Duration> waits;

 private:
  static constexpr state::Duration kReplyTime = Milliseconds(4);

  void Answer(const RoutingBatchHandler& handler, RoutingBatchResult result) {
    this->timers.Deliver(
        [handler, result = std::move(result)] { handler(result); });
  }
  void Add(const EncodedChange& change, RoutingBatch& batch) const {
    std::optional<RoutingChange> decoded = LogDecoder().Decode(change);
    if (decoded) batch.changes.push_back(std::move(*decoded));
    batch.encoded.push_back(change);
  }
  RoutingBatchResult Snapshot() const {
    if (!this->is_up) return SourceFailure::kRefused;
    RoutingBatch batch;
    batch.position = this->log.Position();
    for (const auto& [key, text] : this->log.Current()) {
      this->Add({key, text, false, batch.position.revision}, batch);
    }
    return batch;
  }
  RoutingBatchResult ChangesAfter(const state::SourcePosition& after) const {
    if (!this->is_up) return SourceFailure::kRefused;
    RoutingBatch batch;
    batch.position = this->log.Position();
    if (after.revision < this->log.OldestRevision() ||
        after.revision > batch.position.revision) {
      return SourceFailure::kHistoryGone;
    }
    for (const EncodedChange& change : this->log.Changes()) {
      if (change.revision > after.revision) this->Add(change, batch);
    }
    return RequireContinuation(after, std::move(batch));
  }

  fleet_testing::VirtualTime& time;
  HostTimers& timers;
  const PublishedLog& log;
  std::vector<std::function<void()>> waiting;
};

/// \brief A failure domain of hosts that follow one source, each by a
/// SourceFollower.
class SharingFleet {
 public:
  struct Host : HostLink {
    Host(SharingFleet& fleet, const state::HostAdvert& own)
        : fleet(fleet),
          timers(fleet.time),
          roster(own),
          source(fleet.time, timers, fleet.log),
          shared(fleet.time, source, *this, roster, fleet.decoder, history,
                 fixture.log),
          follower(fleet.time, timers, fleet.random, shared, fixture.intake,
                   fixture.log, Milliseconds(6'000)) {}

    std::shared_ptr<RelayCall> Delegate(
        const state::Endpoint& /*host*/, DelegatedRequest /*request*/,
        DelegationHandler /*handler*/) override {
      return nullptr;
    }
    void ExchangeAdverts(const state::Endpoint& /*host*/,
                         const state::HostAdvert& /*own*/,
                         AdvertsHandler handler) override {
      handler(std::nullopt);
    }
    void FollowChanges(const state::Endpoint& host,
                       const state::SourcePosition& after, state::Duration wait,
                       ChangesHandler handler) override {
      Host& other = this->fleet.At(host.address);
      const state::TimePoint now = this->fleet.time.Now();
      const std::shared_ptr<bool> is_done = std::make_shared<bool>(false);
      this->fleet.time.RunAt(
          now + wait + Milliseconds(300), [this, is_done, handler] {
            if (!std::exchange(*is_done, true)) {
              this->timers.Deliver([handler] { handler(std::nullopt); });
            }
          });
      if (!other.Replies()) return;
      const std::shared_ptr<std::function<void()>> reply =
          std::make_shared<std::function<void()>>([this, &other, after, is_done,
                                                   handler] {
            if (!other.Replies() || std::exchange(*is_done, true)) return;
            this->Receive(other.history.After(after, this->fleet.time.Now()),
                          handler);
          });
      if (other.history.After(after, now).is_history_gone) {
        (*reply)();
        return;
      }
      this->fleet.time.RunAt(now + wait, [reply] { (*reply)(); });
      other.history.NotifyAfter(after, reply);
    }
    void ReadSnapshot(const state::Endpoint& host,
                      ChangesHandler handler) override {
      Host& other = this->fleet.At(host.address);
      this->Receive(
          other.Replies()
              ? std::optional(other.history.Snapshot(this->fleet.time.Now()))
              : std::nullopt,
          std::move(handler));
    }

    bool Replies() const { return this->is_up && this->timers.IsRunning(); }
    bool Knows(const state::SourcePosition& change) const {
      const std::vector<state::FailureDomainId> out =
          this->fixture.servers.DomainsOut();
      return std::count(
                 out.begin(), out.end(),
                 state::FailureDomainId(PublishedLog::DomainKey(change))) > 0;
    }

    SharingFleet& fleet;
    bool is_up = true;  ///< reached by other hosts
    HostTimers timers;
    RelayFixture fixture;
    GathererRoster roster;
    FakeSource source;
    ChangeHistory history;
    SharedSource shared;
    SourceFollower follower;

   private:
    void Receive(std::optional<PassedChanges> passed, ChangesHandler handler) {
      this->fleet.time.RunAt(
          this->fleet.time.Now() + Milliseconds(1),
          [this, passed = std::move(passed), handler = std::move(handler)] {
            this->timers.Deliver([passed, handler] { handler(passed); });
          });
    }
  };

  explicit SharingFleet(int size) {
    for (int index = 0; index < size; ++index) {
      state::HostAdvert own;
      own.id = state::HostId("h" + std::to_string(index));
      own.domain = state::FailureDomainId("a");
      own.endpoint = {own.id.Text(), 80};
      own.cores = index < 2 ? 0.5 : 0.12;
      own.takes_work = true;
      this->hosts.emplace(own.id.Text(), std::make_unique<Host>(*this, own));
    }
  }

  Host& At(const std::string& id) { return *this->hosts.at(id); }
  const std::map<std::string, std::unique_ptr<Host>>& Hosts() const {
    return this->hosts;
  }
  /// All hosts hear of each other; those that are down say nothing.
  void Introduce() {
    for (const auto& [id, host] : this->hosts) {
      for (const auto& [other_id, other] : this->hosts) {
        if (!other->Replies()) continue;
        host->roster.Hear(other->roster.Own(), this->time.Now());
      }
    }
  }
  void Start() {
    for (const auto& [id, host] : this->hosts) host->follower.Start();
  }
  void Lose(const std::string& id) { this->At(id).timers.Lose(); }
  /// \brief Replaces a host by one that knows nothing.
  /// \param reaches_source whether the source answers it at first
  void Restart(const std::string& id, bool reaches_source) {
    std::unique_ptr<Host>& host = this->hosts.at(id);
    host->timers.Lose();
    std::unique_ptr<Host> next =
        std::make_unique<Host>(*this, host->roster.Own());
    next->source.is_up = reaches_source;
    this->lost.push_back(std::exchange(host, std::move(next)));
    host->follower.Start();
  }
  void Advance(state::Duration duration) {
    const state::Duration step = Milliseconds(100);
    for (state::Duration passed{0}; passed < duration; passed += step) {
      this->Introduce();
      this->time.Advance(step);
      for (const auto& [id, host] : this->hosts) {
        host->fixture.time.Advance(step);
      }
    }
  }

  void Publish(const std::string& key, const std::string& text) {
    this->log.Set(key, text);
    this->TellOfChange();
  }
  void Withdraw(const std::string& key) {
    this->log.Remove(key);
    this->TellOfChange();
  }
  /// Publishes a change of its own name.
  /// \returns its revision
  std::uint64_t Write() {
    this->Publish(PublishedLog::DomainKey(this->log.Next()), "out");
    return this->log.Position().revision;
  }
  void DropHistory() { this->log.DropHistory(); }
  void SetSourceUp(bool is_up) {
    for (const auto& [id, host] : this->hosts) host->source.is_up = is_up;
  }
  /// The source returns from a copy that was taken at a revision; open watches
  /// fail.
  void ReturnFromCopy(std::uint64_t copied) {
    for (const auto& [id, host] : this->hosts) host->source.CutWatches();
    this->log.ReturnFromCopy(copied);
  }
  int CountKnowing(std::uint64_t revision, std::uint64_t era = 0) {
    int count = 0;
    for (const auto& [id, host] : this->hosts) {
      if (host->is_up && host->Knows({revision, era})) ++count;
    }
    return count;
  }
  int Calls() {
    int calls = 0;
    for (const auto& [id, host] : this->hosts) {
      calls += host->source.reads + host->source.watches;
    }
    return calls;
  }

  fleet_testing::VirtualTime time;
  PublishedLog log{time};
  FixedRandomSource random{3};
  LogDecoder decoder;

 private:
  void TellOfChange() {
    for (const auto& [id, host] : this->hosts) host->source.OnChange();
  }

  std::map<std::string, std::unique_ptr<Host>> hosts;
  std::vector<std::unique_ptr<Host>> lost;  // timers may still name them
};

}  // namespace banyanknot::coordination::routing_testing

#endif  // BANYANKNOT_TEST_COORDINATION_DELEGATION_SHARING_FLEET_H_
