#ifndef BANYANKNOT_TRANSPORT_BOOST_EVENT_LOG_H_
#define BANYANKNOT_TRANSPORT_BOOST_EVENT_LOG_H_

#include <cstdint>
#include <functional>
#include <iosfwd>
#include <memory>
#include <string>
#include <vector>

#include "banyanknot/coordination/event_log.h"
#include "banyanknot/coordination/wall_clock.h"

namespace banyanknot::transport {

/// \brief Writes events to a stream through Boost.Log.
///
/// Thread-safe. A dedicated thread writes to the stream; events are dropped and
/// counted while its queue is full, so that callers never block on the stream.
class BoostEventLog : public coordination::EventLog {
 public:
  /// \brief Formats an event as one line; the first argument is the Unix time
  /// in milliseconds.
  using LineEncoder = std::function<std::string(
      std::int64_t, const coordination::EventDescription&,
      const std::vector<coordination::LogField>&)>;

  /// \param least events of a lower severity are not written
  /// \param stream must outlive the log
  BoostEventLog(const coordination::WallClock& wall_clock,
                coordination::LogSeverity min_severity, LineEncoder encode,
                std::ostream& stream);
  ~BoostEventLog() override;

  void Write(coordination::EventCode code,
             const std::vector<coordination::LogField>& fields) override;

  /// \brief Returns the number of events dropped by all logs of the process.
  std::uint64_t Dropped() const;

 private:
  struct Impl;
  const coordination::WallClock& wall_clock;
  const coordination::LogSeverity min_severity;
  const LineEncoder encode;
  std::unique_ptr<Impl> impl;
};

}  // namespace banyanknot::transport

#endif  // BANYANKNOT_TRANSPORT_BOOST_EVENT_LOG_H_
