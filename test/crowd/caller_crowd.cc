#include "crowd/caller_crowd.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace banyanknot::crowd_testing {

namespace asio = boost::asio;
using asio::ip::tcp;

/// One connection; all of its functions run on the crowd's thread.
class CallerCrowd::Caller : public std::enable_shared_from_this<Caller> {
 public:
  Caller(CallerCrowd& crowd, tcp::endpoint target, int receive_buffer_bytes)
      : crowd(crowd), target(std::move(target)), socket(crowd.context) {
    if (receive_buffer_bytes == 0) return;
    this->socket.open(this->target.protocol());
    this->socket.set_option(
        asio::socket_base::receive_buffer_size(receive_buffer_bytes));
  }

  void Start() {
    this->socket.async_connect(this->target,
                               [self = this->shared_from_this()](
                                   const boost::system::error_code& error) {
                                 if (error) {
                                   self->Settle();
                                 } else {
                                   self->Write(self->crowd.bytes.first);
                                 }
                               });
  }
  void Close() {
    boost::system::error_code ignored;
    this->socket.close(ignored);
  }

 private:
  void Write(const std::string& text) {
    asio::async_write(this->socket, asio::buffer(text),
                      [self = this->shared_from_this()](
                          const boost::system::error_code& error,
                          std::size_t /*count*/) { self->OnWritten(error); });
  }
  void OnWritten(const boost::system::error_code& error) {
    if (error || this->repeated++ >= this->crowd.bytes.repetitions) {
      this->Settle();
    } else {
      this->Write(this->crowd.bytes.repeat);
    }
  }
  void Settle() { ++this->crowd.settled; }

  CallerCrowd& crowd;
  const tcp::endpoint target;
  tcp::socket socket;
  std::size_t repeated = 0;
};

CallerCrowd::CallerCrowd(const state::Endpoint& target, std::size_t callers,
                         CrowdBytes bytes, int receive_buffer_bytes)
    : bytes(std::move(bytes)) {
  const tcp::endpoint endpoint(asio::ip::make_address(target.address),
                               target.port);
  for (std::size_t index = 0; index < callers; ++index) {
    this->callers.push_back(
        std::make_shared<Caller>(*this, endpoint, receive_buffer_bytes));
    this->callers.back()->Start();
  }
  this->thread = std::thread([this] { this->context.run(); });
}

CallerCrowd::~CallerCrowd() {
  this->Leave();
  this->work.reset();
  this->thread.join();
}

void CallerCrowd::Leave() {
  asio::post(this->context, [this] {
    for (const std::shared_ptr<Caller>& caller : this->callers) {
      caller->Close();
    }
  });
}

}  // namespace banyanknot::crowd_testing
