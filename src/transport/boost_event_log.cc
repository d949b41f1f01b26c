#include "banyanknot/transport/boost_event_log.h"

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <iostream>
#include <utility>

namespace banyanknot::transport {

struct BoostEventLog::Impl {
  using Backend = boost::log::sinks::text_ostream_backend;
  using Sink = boost::log::sinks::synchronous_sink<Backend>;

  Impl() : sink(boost::make_shared<Sink>()) {
    this->sink->locked_backend()->add_stream(
        boost::shared_ptr<std::ostream>(&std::clog, boost::null_deleter()));
    this->sink->locked_backend()->auto_flush(true);
    this->sink->set_formatter(boost::log::expressions::stream
                              << boost::log::expressions::smessage);
    boost::log::core::get()->add_sink(this->sink);
  }

  ~Impl() { boost::log::core::get()->remove_sink(this->sink); }

  boost::shared_ptr<Sink> sink;
  boost::log::sources::logger_mt logger;
};

BoostEventLog::BoostEventLog(const coordination::WallClock& wall_clock,
                             coordination::LogSeverity least,
                             LineEncoder encode)
    : wall_clock(wall_clock),
      least(least),
      encode(std::move(encode)),
      impl(std::make_unique<Impl>()) {}

BoostEventLog::~BoostEventLog() = default;

void BoostEventLog::Write(coordination::EventCode code,
                          const std::vector<coordination::LogField>& fields) {
  const coordination::EventDescription& event =
      coordination::DescriptionOf(code);
  if (event.severity < this->least) return;
  BOOST_LOG(this->impl->logger)
      << this->encode(this->wall_clock.UnixMilliseconds(), event, fields);
}

}  // namespace banyanknot::transport
