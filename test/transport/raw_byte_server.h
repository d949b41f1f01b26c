#ifndef BANYANKNOT_TEST_TRANSPORT_RAW_BYTE_SERVER_H_
#define BANYANKNOT_TEST_TRANSPORT_RAW_BYTE_SERVER_H_

#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "banyanknot/state/endpoint.h"

namespace banyanknot::transport {

/// \brief What a RawByteServer sends after the first bytes of each request.
struct RawBytes {
  std::string first;   ///< sent once
  std::string repeat;  ///< then sent without end, until the client closes
  /// Between two repetitions.
  std::chrono::milliseconds pause{0};
  bool closes = false;  ///< after sending `first` and `repeat` once
};

/// \brief Sends fixed bytes on each connection, whatever the client sends.
class RawByteServer {
 public:
  RawByteServer(boost::asio::io_context& context, RawBytes bytes)
      : shared(std::make_shared<Shared>(context, std::move(bytes))) {
    this->shared->AcceptNext();
  }
  ~RawByteServer() {
    boost::system::error_code ignored;
    this->shared->acceptor.close(ignored);
  }

  state::Endpoint Address() const {
    return {"127.0.0.1", this->shared->acceptor.local_endpoint().port()};
  }
  /// \brief Returns the number of connections that the client has closed.
  int Closed() const { return this->shared->closed; }
  std::size_t BytesSent() const { return this->shared->bytes_sent; }

 private:
  using tcp = boost::asio::ip::tcp;

  struct Shared : std::enable_shared_from_this<Shared> {
    Shared(boost::asio::io_context& context, RawBytes bytes)
        : context(context),
          bytes(std::move(bytes)),
          acceptor(context, tcp::endpoint(tcp::v4(), 0)) {}
    void AcceptNext() {
      this->acceptor.async_accept(
          boost::asio::make_strand(this->context),
          [self = this->shared_from_this()](
              const boost::system::error_code& error, tcp::socket socket) {
            if (error) return;
            std::make_shared<Connection>(self, std::move(socket))->Begin();
            self->AcceptNext();
          });
    }

    boost::asio::io_context& context;
    const RawBytes bytes;
    tcp::acceptor acceptor;
    std::atomic<int> closed{0};
    std::atomic<std::size_t> bytes_sent{0};
  };

  struct Connection : std::enable_shared_from_this<Connection> {
    Connection(std::shared_ptr<Shared> server, tcp::socket socket)
        : server(std::move(server)),
          socket(std::move(socket)),
          timer(this->socket.get_executor()) {}
    void Begin() {
      this->socket.async_wait(tcp::socket::wait_read,
                              [self = this->shared_from_this()](
                                  const boost::system::error_code& error) {
                                if (!error) self->WriteFirst();
                              });
    }
    void WriteFirst() {
      // Unread input would turn a close into a reset.
      std::array<char, 4096> request;
      boost::system::error_code ignored;
      this->socket.read_some(boost::asio::buffer(request), ignored);
      this->Write(this->server->bytes.first);
    }
    void Write(const std::string& bytes) {
      boost::asio::async_write(
          this->socket, boost::asio::buffer(bytes),
          [self = this->shared_from_this()](
              const boost::system::error_code& error, std::size_t written) {
            self->server->bytes_sent += written;
            if (error) {
              ++self->server->closed;
            } else {
              self->WriteMore();
            }
          });
    }
    void WriteMore() {
      const RawBytes& bytes = this->server->bytes;
      if (bytes.closes && (bytes.repeat.empty() || this->has_repeated)) {
        boost::system::error_code ignored;
        this->socket.shutdown(tcp::socket::shutdown_send, ignored);
        return;
      }
      if (bytes.repeat.empty()) return;
      this->has_repeated = true;
      if (this->server->bytes.pause.count() == 0) {
        this->Write(this->server->bytes.repeat);
        return;
      }
      this->timer.expires_after(this->server->bytes.pause);
      this->timer.async_wait([self = this->shared_from_this()](
                                 const boost::system::error_code& error) {
        if (!error) self->Write(self->server->bytes.repeat);
      });
    }

    const std::shared_ptr<Shared> server;
    tcp::socket socket;
    boost::asio::steady_timer timer;
    bool has_repeated = false;
  };

  const std::shared_ptr<Shared> shared;
};

/// \brief Bytes that never become an answer, by what they pretend to be.
struct EndlessBytes {
  const char* name;
  RawBytes bytes;
};

/// \brief Returns every kind of endless response, in large pieces.
inline std::vector<EndlessBytes> AllEndlessBytes() {
  const std::string filler(16u << 10, 'x');
  const std::string status = "HTTP/1.1 200 OK\r\n";
  return {
      {"status line", {"HTTP/1.1 200 ", filler}},
      {"header value", {status + "X-Long: ", filler}},
      {"header lines", {status, "X-More: " + std::string(400, 'y') + "\r\n"}},
      {"no HTTP at all", {"", filler}},
      {"body without a length", {status + "\r\n", filler}},
      {"body with a length",
       {status + "Content-Length: 60000000\r\n\r\n", filler}},
      {"chunks",
       {status + "Transfer-Encoding: chunked\r\n\r\n",
        "4000\r\n" + filler + "\r\n"}},
      {"one-byte chunks",
       {status + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"}},
      {"chunk extension",
       {status + "Transfer-Encoding: chunked\r\n\r\n1;a=", filler}},
      {"chunk extensions",
       {status + "Transfer-Encoding: chunked\r\n\r\n",
        "1;" + std::string(1'000, 'e') + "\r\nx\r\n"}},
      {"trailer value",
       {status + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Trailer: ", filler}},
      {"trailer lines",
       {status + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
        "X-Trailer: " + std::string(400, 'z') + "\r\n"}},
      {"interim heads", {"", "HTTP/1.1 100 Continue\r\n\r\n"}},
  };
}

}  // namespace banyanknot::transport

#endif  // BANYANKNOT_TEST_TRANSPORT_RAW_BYTE_SERVER_H_
