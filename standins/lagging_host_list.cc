#include "lagging_host_list.h"

#include <utility>

namespace banyanknot::standins {

void LaggingHostList::Set(const std::string& text, state::TimePoint now) {
  this->pending.push_back({now + this->lag, text});
}

const std::string& LaggingHostList::Shown(state::TimePoint now) {
  while (!this->pending.empty() && this->pending.front().shows_at <= now) {
    this->shown = std::move(this->pending.front().text);
    this->pending.pop_front();
  }
  return this->shown;
}

}  // namespace banyanknot::standins
