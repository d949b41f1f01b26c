#ifndef BANYANKNOT_TRANSPORT_IO_THREADS_H_
#define BANYANKNOT_TRANSPORT_IO_THREADS_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace banyanknot::transport {

/// \brief Threads that run the handlers of one Asio context; they block in the
/// kernel while idle.
class IoThreads {
 public:
  /// Told what an exception says that a handler let through. Called on any of
  /// the threads; must not throw.
  using FailureHandler = std::function<void(const std::string& what)>;

  /// \param count number of threads
  /// \param on_failure empty to write to standard error
  /// \pre count > 0
  explicit IoThreads(std::size_t count, FailureHandler on_failure = {});
  /// \brief Stops and joins the threads; pending handlers are not run.
  ~IoThreads();

  IoThreads(const IoThreads&) = delete;
  IoThreads& operator=(const IoThreads&) = delete;

  boost::asio::io_context& Context();

  /// \brief Returns the number of handlers that ended with an exception. Each
  /// loses only its own work; the threads go on.
  std::size_t FailedHandlers() const;

  /// \brief Stops and joins the threads. Idempotent.
  void Stop();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace banyanknot::transport

#endif  // BANYANKNOT_TRANSPORT_IO_THREADS_H_
