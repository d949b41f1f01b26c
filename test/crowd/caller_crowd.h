#ifndef BANYANKNOT_TEST_CROWD_CALLER_CROWD_H_
#define BANYANKNOT_TEST_CROWD_CALLER_CROWD_H_

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "banyanknot/state/endpoint.h"

namespace banyanknot::crowd_testing {

/// \brief What each caller of a crowd sends.
struct CrowdBytes {
  std::string first;  ///< sent once
  std::string repeat;
  std::size_t repetitions = 0;
};

/// \brief Callers that send fixed bytes, read nothing and stay connected.
///
/// A caller whose connection the peer closes or resets ends.
class CallerCrowd {
 public:
  /// \param receive_buffer_bytes of each caller's socket; 0 for the default
  CallerCrowd(const state::Endpoint& target, std::size_t callers,
              CrowdBytes bytes, int receive_buffer_bytes = 0);
  ~CallerCrowd();

  /// \brief Returns true once each caller has sent all of its bytes or ended.
  bool IsSettled() const { return this->settled == this->callers.size(); }
  /// \brief Closes all connections.
  void Leave();

 private:
  class Caller;

  boost::asio::io_context context;
  /// Without it, the thread would end before Leave().
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work{
      context.get_executor()};
  const CrowdBytes bytes;
  std::atomic<std::size_t> settled{0};
  std::vector<std::shared_ptr<Caller>> callers;
  std::thread thread;
};

}  // namespace banyanknot::crowd_testing

#endif  // BANYANKNOT_TEST_CROWD_CALLER_CROWD_H_
