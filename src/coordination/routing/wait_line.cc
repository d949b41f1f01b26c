#include "banyanknot/coordination/routing/wait_line.h"

#include <algorithm>

namespace banyanknot::coordination {
namespace {

/// Weight of the newest turn in the moving average: about the last eight count.
constexpr int kTurnsThatCount = 8;

bool IsLessUrgent(const Waiter& left, const Waiter& right) {
  if (left.priority != right.priority) return left.priority > right.priority;
  return left.due > right.due;
}

}  // namespace

bool WaitLine::Join(const state::ServiceId& service, const Waiter& waiter,
                    state::TimePoint now) {
  return this->lines.Update(service, [&](Line& line) {
    if (line.waiters.size() >= this->most) return false;
    if (line.waiters.empty()) line.last_turn = now;
    line.waiters.push_back(waiter);
    return true;
  });
}

std::optional<Waiter> WaitLine::Next(const state::ServiceId& service,
                                     state::TimePoint now) {
  std::optional<Waiter> next;
  this->lines.UpdateIfPresent(service, [&](Line& line) {
    std::vector<Waiter>& waiters = line.waiters;
    waiters.erase(std::remove_if(waiters.begin(), waiters.end(),
                                 [now](const Waiter& waiter) {
                                   return waiter.due <= now;
                                 }),
                  waiters.end());
    const auto first =
        std::max_element(waiters.begin(), waiters.end(), IsLessUrgent);
    if (first == waiters.end()) return;
    const state::Duration interval = now - line.last_turn;
    line.interval =
        line.interval.count() == 0
            ? interval
            : line.interval + (interval - line.interval) / kTurnsThatCount;
    line.last_turn = now;
    next = *first;
    waiters.erase(first);
  });
  return next;
}

ExpectedWait WaitLine::Forecast(const state::ServiceId& service,
                                const Waiter& waiter) const {
  ExpectedWait expected;
  this->lines.ReadIfPresent(service, [&](const Line& line) {
    if (line.waiters.empty()) return;
    const std::int64_t ahead =
        std::count_if(line.waiters.begin(), line.waiters.end(),
                      [&waiter](const Waiter& other) {
                        return !IsLessUrgent(other, waiter);
                      });
    expected.interval = line.interval;
    expected.wait = line.interval * (ahead + 1);
  });
  return expected;
}

}  // namespace banyanknot::coordination
