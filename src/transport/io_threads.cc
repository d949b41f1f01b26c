#include "banyanknot/transport/io_threads.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <thread>
#include <vector>

#include "banyanknot/state/util/assert.h"

namespace banyanknot::transport {

struct IoThreads::Impl {
  explicit Impl(std::size_t count)
      : context(static_cast<int>(count)), work(context.get_executor()) {}

  boost::asio::io_context context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
  std::vector<std::thread> threads;
};

IoThreads::IoThreads(std::size_t count) : impl(std::make_unique<Impl>(count)) {
  BANYANKNOT_ASSERT(count > 0, "thread count must be at least 1");
  for (std::size_t index = 0; index < count; ++index) {
    this->impl->threads.emplace_back([this] { this->impl->context.run(); });
  }
}

IoThreads::~IoThreads() { this->Stop(); }

boost::asio::io_context& IoThreads::Context() { return this->impl->context; }

void IoThreads::Stop() {
  this->impl->work.reset();
  this->impl->context.stop();
  for (std::thread& thread : this->impl->threads) thread.join();
  this->impl->threads.clear();
}

}  // namespace banyanknot::transport
