#ifndef BANYANKNOT_TEST_COORDINATION_FLEET_SUPPORT_FAKE_PLATFORM_H_
#define BANYANKNOT_TEST_COORDINATION_FLEET_SUPPORT_FAKE_PLATFORM_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "banyanknot/coordination/configuration_source.h"
#include "banyanknot/coordination/host_list_source.h"
#include "coordination/fleet/support/virtual_time.h"

namespace banyanknot::coordination::fleet_testing {

/// \brief The platform of one test: entries by revision and a list of hosts.
class FakePlatform {
 public:
  explicit FakePlatform(VirtualTime& time) : time(time) {}

  std::uint64_t Put(const std::string& key, const std::string& text) {
    this->entries[key] = {key, ++this->revision, false, text};
    this->AnswerWatches();
    return this->revision;
  }
  std::uint64_t Delete(const std::string& key) {
    this->entries[key] = {key, ++this->revision, true, ""};
    this->AnswerWatches();
    return this->revision;
  }

  /// \brief Makes later replies show the present state, as a stale copy would.
  void Freeze() {
    this->Thaw();
    this->frozen = {this->revision, this->entries};
  }
  /// \brief Ends that; the copy then answers the watches that waited at it.
  void Thaw() {
    if (!this->frozen) return;
    const bool has_changes = this->frozen->first != this->revision;
    this->frozen.reset();
    if (has_changes) this->AnswerWatches();
  }

  void SetDown(bool down) {
    this->is_down = down;
    if (!down) return;
    std::vector<Watch> failed;
    failed.swap(this->watches);
    for (const Watch& watch : failed) {
      this->Answer(watch.handler, CoordinationError::kUnavailable);
    }
  }

  void Read(const state::Endpoint& from, std::uint64_t since,
            const RawUpdateHandler& handler) {
    ++this->reads;
    if (this->IsUnreachable(from)) {
      this->Answer(handler, CoordinationError::kUnavailable);
    } else {
      this->Answer(handler, this->ChangesSince(since));
    }
  }

  void AddWatch(const state::Endpoint& from, std::uint64_t since,
                state::Duration wait, const RawUpdateHandler& handler) {
    if (this->IsUnreachable(from) || wait.count() == 0 ||
        !this->ChangesSince(since).entries.empty()) {
      this->Read(from, since, handler);
      return;
    }
    ++this->reads;
    const std::uint64_t id = ++this->next_watch;
    this->watches.push_back({id, from, since, handler});
    this->time.RunAt(this->time.Now() + wait, [this, id] { this->End(id); });
  }

  void ReadHosts(const state::Endpoint& from, const HostListHandler& handler) {
    ++this->reads;
    const HostListResult result =
        this->IsUnreachable(from)
            ? HostListResult(CoordinationError::kUnavailable)
            : HostListResult(this->hosts);
    this->time.RunAt(this->time.Now() + kDelay,
                     [handler, result] { handler(result); });
  }

  std::vector<state::ListedHost> hosts;
  std::function<bool(const state::Endpoint&)> is_cut;
  std::uint64_t reads = 0;

 private:
  static constexpr state::Duration kDelay = state::Milliseconds(3);
  struct Watch {
    std::uint64_t id = 0;
    state::Endpoint from;
    std::uint64_t since = 0;
    RawUpdateHandler handler;
  };
  using Entries = std::map<std::string, RawEntry>;

  bool IsUnreachable(const state::Endpoint& from) const {
    return this->is_down || (this->is_cut && this->is_cut(from));
  }

  RawUpdate ChangesSince(std::uint64_t since) const {
    RawUpdate update;
    update.revision = this->frozen ? this->frozen->first : this->revision;
    const Entries& shown = this->frozen ? this->frozen->second : this->entries;
    for (const auto& [key, entry] : shown) {
      if (entry.revision > since) update.entries.push_back(entry);
    }
    return update;
  }

  void Answer(const RawUpdateHandler& handler, const RawUpdateResult& result) {
    this->time.RunAt(this->time.Now() + kDelay,
                     [handler, result] { handler(result); });
  }

  void End(std::uint64_t id) {
    for (auto watch = this->watches.begin(); watch != this->watches.end();
         ++watch) {
      if (watch->id != id) continue;
      this->Answer(watch->handler,
                   this->IsUnreachable(watch->from)
                       ? RawUpdateResult(CoordinationError::kTimeout)
                       : this->ChangesSince(watch->since));
      this->watches.erase(watch);
      return;
    }
  }

  void AnswerWatches() {
    if (this->frozen) return;
    std::vector<Watch> waiting;
    for (Watch& watch : this->watches) {
      if (this->IsUnreachable(watch.from)) {
        waiting.push_back(watch);
      } else {
        this->Answer(watch.handler, this->ChangesSince(watch.since));
      }
    }
    this->watches.swap(waiting);
  }

  VirtualTime& time;
  std::uint64_t revision = 0;
  Entries entries;
  std::optional<std::pair<std::uint64_t, Entries>> frozen;
  bool is_down = false;
  std::vector<Watch> watches;
  std::uint64_t next_watch = 0;
};

/// \brief Client of a FakePlatform; replies are delivered on the host's timers.
class FakePlatformClient : public ConfigurationSource, public HostListSource {
 public:
  FakePlatformClient(FakePlatform& platform, const Clock& clock,
                     TimerService& timers, state::Endpoint self)
      : platform(platform),
        clock(clock),
        timers(timers),
        self(std::move(self)) {}

  void Read(std::uint64_t since, RawUpdateHandler handler) override {
    this->platform.Read(this->self, since, this->OnTimers(std::move(handler)));
  }
  void Watch(std::uint64_t since, state::Duration wait,
             RawUpdateHandler handler) override {
    this->platform.AddWatch(this->self, since, wait,
                            this->OnTimers(std::move(handler)));
  }
  void ReadHosts(HostListHandler handler) override {
    this->platform.ReadHosts(this->self, this->OnTimers(std::move(handler)));
  }

 private:
  template <typename Result>
  std::function<void(Result)> OnTimers(std::function<void(Result)> handler) {
    return [this, handler = std::move(handler)](const Result& result) {
      this->timers.RunAt(this->clock.Now(),
                         [handler, result] { handler(result); });
    };
  }

  FakePlatform& platform;
  const Clock& clock;
  TimerService& timers;
  const state::Endpoint self;
};

}  // namespace banyanknot::coordination::fleet_testing

#endif  // BANYANKNOT_TEST_COORDINATION_FLEET_SUPPORT_FAKE_PLATFORM_H_
