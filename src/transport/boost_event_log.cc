#include "banyanknot/transport/boost_event_log.h"

#include <atomic>
#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <ostream>
#include <utility>

namespace banyanknot::transport {

namespace {

/// Holds some seconds of records at the highest logging rate.
constexpr std::size_t kMaxQueuedRecords = 2'048;

std::atomic<std::uint64_t> dropped_records{0};

/// \brief Drops and counts records while the queue is full: a blocked log
/// reader must not delay requests.
struct CountedDropOnOverflow : boost::log::sinks::drop_on_overflow {
  // Boost.Log requires this name.
  template <typename Lock>
  // NOLINTNEXTLINE(readability-identifier-naming)
  static bool on_overflow(const boost::log::record_view& /*record*/,
                          Lock& /*lock*/) {
    ++dropped_records;
    return false;
  }
};

}  // namespace

struct BoostEventLog::Impl {
  using Backend = boost::log::sinks::text_ostream_backend;
  using Queue = boost::log::sinks::bounded_fifo_queue<kMaxQueuedRecords,
                                                      CountedDropOnOverflow>;
  using Sink = boost::log::sinks::asynchronous_sink<Backend, Queue>;

  explicit Impl(std::ostream& stream) : sink(boost::make_shared<Sink>()) {
    this->sink->locked_backend()->add_stream(
        boost::shared_ptr<std::ostream>(&stream, boost::null_deleter()));
    this->sink->locked_backend()->auto_flush(true);
    this->sink->set_formatter(boost::log::expressions::stream
                              << boost::log::expressions::smessage);
    boost::log::core::get()->add_sink(this->sink);
  }

  ~Impl() {
    boost::log::core::get()->remove_sink(this->sink);
    this->sink->stop();
    this->sink->flush();
  }

  boost::shared_ptr<Sink> sink;
  boost::log::sources::logger_mt logger;
};

BoostEventLog::BoostEventLog(const coordination::WallClock& wall_clock,
                             coordination::LogSeverity min_severity,
                             LineEncoder encode, std::ostream& stream)
    : wall_clock(wall_clock),
      min_severity(min_severity),
      encode(std::move(encode)),
      impl(std::make_unique<Impl>(stream)) {}

BoostEventLog::~BoostEventLog() = default;

std::uint64_t BoostEventLog::Dropped() const { return dropped_records; }

void BoostEventLog::Write(coordination::EventCode code,
                          const std::vector<coordination::LogField>& fields) {
  const coordination::EventDescription& event =
      coordination::DescriptionOf(code);
  if (event.severity < this->min_severity) return;
  BOOST_LOG(this->impl->logger)
      << this->encode(this->wall_clock.UnixMilliseconds(), event, fields);
}

}  // namespace banyanknot::transport
