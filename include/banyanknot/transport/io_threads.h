#ifndef BANYANKNOT_TRANSPORT_IO_THREADS_H_
#define BANYANKNOT_TRANSPORT_IO_THREADS_H_

#include <cstddef>
#include <memory>

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace banyanknot::transport {

/// \brief Threads that run the handlers of one Asio context.
///
/// The threads sleep in the kernel while there is nothing to do.
class IoThreads {
 public:
  /// \param count number of threads
  /// \pre count > 0
  explicit IoThreads(std::size_t count);
  /// \brief Stops and joins the threads; handlers not yet run are dropped.
  ~IoThreads();

  IoThreads(const IoThreads&) = delete;
  IoThreads& operator=(const IoThreads&) = delete;

  boost::asio::io_context& Context();

  /// \brief Stops and joins the threads. May be called twice.
  void Stop();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace banyanknot::transport

#endif  // BANYANKNOT_TRANSPORT_IO_THREADS_H_
