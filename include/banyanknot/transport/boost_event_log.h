#ifndef BANYANKNOT_TRANSPORT_BOOST_EVENT_LOG_H_
#define BANYANKNOT_TRANSPORT_BOOST_EVENT_LOG_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "banyanknot/coordination/event_log.h"
#include "banyanknot/coordination/wall_clock.h"

namespace banyanknot::transport {

/// \brief Writes events to the standard error stream through Boost.Log.
class BoostEventLog : public coordination::EventLog {
 public:
  /// \brief Turns an event into one line of text.
  using LineEncoder = std::function<std::string(
      std::int64_t, const coordination::EventDescription&,
      const std::vector<coordination::LogField>&)>;

  /// \param least events of a lower severity are left out
  BoostEventLog(const coordination::WallClock& wall_clock,
                coordination::LogSeverity least, LineEncoder encode);
  ~BoostEventLog() override;

  void Write(coordination::EventCode code,
             const std::vector<coordination::LogField>& fields) override;

 private:
  struct Impl;
  const coordination::WallClock& wall_clock;
  const coordination::LogSeverity least;
  const LineEncoder encode;
  std::unique_ptr<Impl> impl;
};

}  // namespace banyanknot::transport

#endif  // BANYANKNOT_TRANSPORT_BOOST_EVENT_LOG_H_
