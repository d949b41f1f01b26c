#ifndef BANYANKNOT_TRANSPORT_ASIO_TIMER_SERVICE_H_
#define BANYANKNOT_TRANSPORT_ASIO_TIMER_SERVICE_H_

#include <functional>

#include "banyanknot/coordination/timer_service.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace banyanknot::transport {

/// \brief Runs timers on an Asio context. Thread-safe.
class AsioTimerService : public coordination::TimerService {
 public:
  explicit AsioTimerService(boost::asio::io_context& context)
      : context(context) {}
  void RunAt(state::TimePoint when, std::function<void()> function) override;

 private:
  boost::asio::io_context& context;
};

}  // namespace banyanknot::transport

#endif  // BANYANKNOT_TRANSPORT_ASIO_TIMER_SERVICE_H_
