#ifndef BANYANKNOT_STANDINS_LAGGING_HOST_LIST_H_
#define BANYANKNOT_STANDINS_LAGGING_HOST_LIST_H_

#include <deque>
#include <string>

#include "banyanknot/state/util/time.h"

namespace banyanknot::standins {

/// \brief The platform's list of hosts; a change shows only after a lag.
///
/// Not thread-safe; its owner locks.
class LaggingHostList {
 public:
  /// \param text the list as JSON text
  void Set(const std::string& text, state::TimePoint now);

  /// \brief Sets the lag of changes that come from now on.
  void SetLag(state::Duration lag) { this->lag = lag; }

  /// \brief The list as it shows at `now`.
  const std::string& Shown(state::TimePoint now);

 private:
  struct Change {
    state::TimePoint shows_at;
    std::string text;
  };

  state::Duration lag{0};
  std::string shown = R"({"hosts":[]})";
  std::deque<Change> pending;
};

}  // namespace banyanknot::standins

#endif  // BANYANKNOT_STANDINS_LAGGING_HOST_LIST_H_
