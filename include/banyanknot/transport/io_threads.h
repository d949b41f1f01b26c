#ifndef BANYANKNOT_TRANSPORT_IO_THREADS_H_
#define BANYANKNOT_TRANSPORT_IO_THREADS_H_

#include <cstddef>
#include <memory>

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace banyanknot::transport {

/// \brief Threads that run the handlers of one Asio context; they block in the
/// kernel while idle.
class IoThreads {
 public:
  /// \param count number of threads
  /// \pre count > 0
  explicit IoThreads(std::size_t count);
  /// \brief Stops and joins the threads; pending handlers are not run.
  ~IoThreads();

  IoThreads(const IoThreads&) = delete;
  IoThreads& operator=(const IoThreads&) = delete;

  boost::asio::io_context& Context();

  /// \brief Stops and joins the threads. Idempotent.
  void Stop();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace banyanknot::transport

#endif  // BANYANKNOT_TRANSPORT_IO_THREADS_H_
