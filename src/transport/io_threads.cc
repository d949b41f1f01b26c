#include "banyanknot/transport/io_threads.h"

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <exception>
#include <iostream>
#include <thread>
#include <utility>
#include <vector>

#include "banyanknot/state/util/assert.h"

namespace banyanknot::transport {

struct IoThreads::Impl {
  Impl(std::size_t count, FailureHandler on_failure)
      : on_failure(std::move(on_failure)),
        context(static_cast<int>(count)),
        work(context.get_executor()) {}

  void Run() {
    for (;;) {
      try {
        this->context.run();
        return;
      } catch (const std::exception& error) {
        ++this->failed_handlers;
        this->Report(error.what());
      }
    }
  }

  void Report(const std::string& what) const {
    if (this->on_failure) {
      this->on_failure(what);
    } else {
      std::cerr << "handler failed: " << what << std::endl;
    }
  }

  const FailureHandler on_failure;
  std::atomic<std::size_t> failed_handlers{0};
  boost::asio::io_context context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
  std::vector<std::thread> threads;
};

IoThreads::IoThreads(std::size_t count, FailureHandler on_failure)
    : impl(std::make_unique<Impl>(count, std::move(on_failure))) {
  BANYANKNOT_ASSERT(count > 0, "thread count must be at least 1");
  for (std::size_t index = 0; index < count; ++index) {
    this->impl->threads.emplace_back([this] { this->impl->Run(); });
  }
}

IoThreads::~IoThreads() { this->Stop(); }

boost::asio::io_context& IoThreads::Context() { return this->impl->context; }

std::size_t IoThreads::FailedHandlers() const {
  return this->impl->failed_handlers;
}

void IoThreads::Stop() {
  this->impl->work.reset();
  this->impl->context.stop();
  for (std::thread& thread : this->impl->threads) thread.join();
  this->impl->threads.clear();
}

}  // namespace banyanknot::transport
