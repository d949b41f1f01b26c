#ifndef BANYANKNOT_TEST_COORDINATION_SERVERS_FAKES_H_
#define BANYANKNOT_TEST_COORDINATION_SERVERS_FAKES_H_

#include <functional>
#include <utility>
#include <vector>

#include "banyanknot/Coordination"
#include "coordination/support/recording_audit_sink.h"

namespace banyanknot::coordination::servers_test {

/// \brief A clock that only the test advances.
class FakeClock : public Clock {
 public:
  state::TimePoint Now() const override { return this->now; }
  state::TimePoint now;
};

/// \brief Holds scheduled functions until RunDue().
class FakeTimerService : public TimerService {
 public:
  void RunAt(state::TimePoint when, std::function<void()> function) override {
    this->functions.emplace_back(when, std::move(function));
  }
  void RunDue(state::TimePoint now) {
    std::vector<std::pair<state::TimePoint, std::function<void()>>> waiting;
    waiting.swap(this->functions);
    for (auto& [when, function] : waiting) {
      if (when <= now) {
        function();
      } else {
        this->functions.emplace_back(when, std::move(function));
      }
    }
  }

 private:
  std::vector<std::pair<state::TimePoint, std::function<void()>>> functions;
};

/// \brief Records published updates and delivers none.
class RecordingServerUpdateChannel : public ServerUpdateChannel {
 public:
  void Publish(const ServerUpdate& update) override {
    this->server_updates.push_back(update);
  }
  void Subscribe(ServerUpdateListener& /*listener*/) override {}
  std::vector<ServerUpdate> server_updates;
};

/// \brief A roster set by the test.
class FixedRoster : public HostRoster {
 public:
  std::vector<state::HostId> EligibleHosts(
      const state::FailureDomainId& /*domain*/) const override {
    return this->hosts;
  }
  std::size_t HostCount() const override { return this->hosts.size(); }
  std::vector<state::HostId> hosts;
};

class FixedOwnership : public ColdSlotOwnership {
 public:
  std::uint32_t OwnedSlots(const state::ServerId& /*server*/,
                           const state::FailureDomainId& /*domain*/,
                           std::uint32_t /*cold_slots*/) override {
    return this->owned;
  }
  std::uint32_t owned = 1;
};

}  // namespace banyanknot::coordination::servers_test

#endif  // BANYANKNOT_TEST_COORDINATION_SERVERS_FAKES_H_
