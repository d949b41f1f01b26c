#include "banyanknot/coordination/routing/wait_line.h"

#include <algorithm>

namespace banyanknot::coordination {
namespace {

bool IsLessUrgent(const Waiter& left, const Waiter& right) {
  if (left.priority != right.priority) return left.priority > right.priority;
  return left.due > right.due;
}

}  // namespace

bool WaitLine::Join(const state::ServiceId& service, const Waiter& waiter) {
  return this->lines.Update(service, [&](std::vector<Waiter>& line) {
    if (line.size() >= this->most) return false;
    line.push_back(waiter);
    return true;
  });
}

std::optional<Waiter> WaitLine::Next(const state::ServiceId& service,
                                     state::TimePoint now) {
  std::optional<Waiter> next;
  this->lines.UpdateIfPresent(service, [&](std::vector<Waiter>& line) {
    line.erase(std::remove_if(
                   line.begin(), line.end(),
                   [now](const Waiter& waiter) { return waiter.due <= now; }),
               line.end());
    const auto first = std::max_element(line.begin(), line.end(), IsLessUrgent);
    if (first == line.end()) return;
    next = *first;
    line.erase(first);
  });
  return next;
}

}  // namespace banyanknot::coordination
