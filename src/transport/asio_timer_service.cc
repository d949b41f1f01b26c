#include "banyanknot/transport/asio_timer_service.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <utility>

namespace banyanknot::transport {

void AsioTimerService::RunAt(state::TimePoint when,
                             std::function<void()> function) {
  const std::shared_ptr<boost::asio::steady_timer> timer =
      std::make_shared<boost::asio::steady_timer>(this->context, when);
  timer->async_wait([timer, function = std::move(function)](
                        const boost::system::error_code& error) {
    if (!error) function();
  });
}

}  // namespace banyanknot::transport
