#include "banyanknot/transport/peer_tcp_link.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <future>
#include <memory>
#include <string>
#include <vector>

#include "banyanknot/protocol/peer_codec.h"
#include "banyanknot/protocol/peer_frame.h"
#include "banyanknot/transport/io_threads.h"
#include "transport/peer_link_fakes.h"

namespace banyanknot::transport {
namespace {

using boost::asio::ip::tcp;

constexpr std::size_t kThreads = 2;

state::HostIdentity IdentityOf(const std::string& id) {
  state::HostIdentity identity;
  identity.self.id = state::HostId(id);
  identity.incarnation = 5;
  return identity;
}

state::Endpoint Loopback(std::uint16_t port) { return {"127.0.0.1", port}; }

// A listening link with its handler and threads.
struct Host {
  explicit Host(const std::string& id, PeerLinkLimits limits = {})
      : threads(kThreads),
        link(threads.Context(), IdentityOf(id), handler, limits) {
    this->port = state::ValueOf(this->link.Listen(Loopback(0)));
  }
  ~Host() { this->threads.Stop(); }

  CollectingPeerHandler handler;
  IoThreads threads;
  PeerTcpLink link;
  std::uint16_t port = 0;
};

// A listening socket without a PeerTcpLink.
struct BareListener {
  BareListener() : acceptor(context, tcp::endpoint(tcp::v4(), 0)) {}

  std::uint16_t Port() { return this->acceptor.local_endpoint().port(); }

  // Accepts on a separate thread, so that the test can limit the wait.
  std::future<std::shared_ptr<tcp::socket>> Accept() {
    return std::async(std::launch::async, [this] {
      return std::make_shared<tcp::socket>(this->acceptor.accept());
    });
  }

  boost::asio::io_context context;
  tcp::acceptor acceptor;
};

std::string FrameOf(std::uint64_t sequence) {
  return protocol::EncodePeerFrame(
      protocol::PeerFrameKind::kMessage,
      protocol::EncodePeer({state::HostId("raw"), 1, Numbered(sequence)}));
}

// Encodes frames with arbitrary fields, which EncodePeerFrame() would not.
std::string RawFrame(char version, char kind, std::uint32_t size,
                     const std::string& payload) {
  std::string frame;
  for (unsigned shift = 0; shift < 32; shift += 8) {
    frame.push_back(static_cast<char>(size >> shift));
  }
  return frame + "bk" + version + kind + payload;
}

TEST_CASE("Messages reach the other host with their sender, in order") {
  Host east("east");
  Host west("west");
  for (std::uint64_t sequence = 1; sequence <= 50; ++sequence) {
    east.link.Send(Loopback(west.port), Numbered(sequence));
  }
  REQUIRE(west.handler.WaitFor(50));
  west.link.Send(Loopback(east.port), Numbered(99));
  REQUIRE(east.handler.WaitFor(1));
  const std::vector<std::uint64_t> sequences = west.handler.Sequences();
  for (std::size_t index = 0; index < 50; ++index) {
    CHECK(sequences[index] == index + 1);
  }
  CHECK(west.handler.Envelopes()[0].from == state::HostId("east"));
  CHECK(west.handler.Envelopes()[0].incarnation == 5);
  CHECK(east.link.Counters().connections_opened == 1);
  CHECK(east.link.Counters().messages_sent == 50);
  CHECK(east.link.Counters().bytes_sent > 50);
  CHECK(west.link.Counters().messages_received == 50);
}

TEST_CASE("Each counter of the link is exported as a metric") {
  Host east("east");
  Host west("west");
  east.link.Send(Loopback(west.port), Numbered(1));
  REQUIRE(west.handler.WaitFor(1));
  std::vector<coordination::MetricSample> samples;
  west.link.CollectMetrics(samples);
  REQUIRE(samples.size() == 10);
  for (const coordination::MetricSample& sample : samples) {
    INFO(sample.name);
    const bool is_received =
        sample.name == "banyanknot_peer_messages_received_total";
    CHECK(sample.value == (is_received ? 1 : 0));
  }
}

TEST_CASE(
    "A message of the maximum size is delivered and a larger one dropped") {
  Host east("east");
  Host west("west");
  coordination::PeerPatches patches;
  patches.patches.push_back({});
  patches.patches[0].text = std::string(1u << 20, 'x');
  east.link.Send(Loopback(west.port), patches);
  REQUIRE(west.handler.WaitFor(1));
  patches.patches[0].text = std::string(2u << 20, 'x');
  east.link.Send(Loopback(west.port), patches);
  CHECK(east.link.Counters().messages_dropped == 1);
  east.link.Send(Loopback(west.port), Numbered(7));
  REQUIRE(west.handler.WaitForSequence(7));
}

TEST_CASE("Frames are decoded however TCP splits or merges them") {
  Host host("host");
  RawSocket socket(host.port);
  const std::string first = FrameOf(1);
  for (const char byte : first) socket.Write(std::string(1, byte));
  socket.Write(FrameOf(2) + FrameOf(3) + FrameOf(4).substr(0, 10));
  REQUIRE(host.handler.WaitFor(3));
  socket.Write(FrameOf(4).substr(10));
  REQUIRE(host.handler.WaitFor(4));
  CHECK(host.handler.Sequences() == std::vector<std::uint64_t>{1, 2, 3, 4});
}

TEST_CASE("A bad frame closes its own connection only") {
  struct Row {
    const char* name;
    std::string bytes;
  };
  const std::string verified_length = FrameOf(1);
  const std::vector<Row> rows = {
      {"garbage", "GET / HTTP/1.1\r\n\r\n"},
      {"oversized", RawFrame(1, 0, 0x7FFFFFFF, "")},
      {"another version", RawFrame(9, 0, 0, "")},
      {"payload that is not an envelope", RawFrame(1, 0, 4, "abcd")},
      {"empty message", RawFrame(1, 0, 0, "")},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    Host host("host");
    RawSocket good(host.port);
    good.Write(FrameOf(1));
    REQUIRE(host.handler.WaitFor(1));
    RawSocket bad(host.port);
    bad.Write(row.bytes);
    CHECK(bad.IsClosedByPeer());
    CHECK(host.link.Counters().bad_frames == 1);
    good.Write(FrameOf(2));
    REQUIRE(host.handler.WaitFor(2));
  }
}

TEST_CASE("A truncated frame delivers nothing") {
  Host host("host");
  {
    RawSocket cut(host.port);
    const std::string frame = FrameOf(1);
    cut.Write(frame.substr(0, frame.size() - 1));
  }
  RawSocket good(host.port);
  good.Write(FrameOf(2));
  REQUIRE(host.handler.WaitFor(1));
  CHECK(host.handler.Sequences() == std::vector<std::uint64_t>{2});
}

TEST_CASE("Frames of a later release are skipped and counted") {
  Host host("host");
  RawSocket socket(host.port);
  socket.Write(RawFrame(1, 77, 3, "abc") + FrameOf(1));
  REQUIRE(host.handler.WaitFor(1));
  CHECK(host.link.Counters().unknown_messages == 1);
  CHECK(host.link.Counters().bad_frames == 0);
}

TEST_CASE("A keep-alive is answered on its connection") {
  Host host("host");
  RawSocket socket(host.port);
  socket.Write(
      protocol::EncodePeerFrame(protocol::PeerFrameKind::kKeepAlive, ""));
  CHECK(
      socket.Read(protocol::kPeerFrameHeaderBytes) ==
      protocol::EncodePeerFrame(protocol::PeerFrameKind::kKeepAliveReply, ""));
}

TEST_CASE("A host that restarts at its address becomes reachable again") {
  Host east("east");
  std::unique_ptr<Host> west = std::make_unique<Host>("west");
  const std::uint16_t port = west->port;
  east.link.Send(Loopback(port), Numbered(1));
  REQUIRE(west->handler.WaitFor(1));
  west.reset();
  CollectingPeerHandler handler;
  IoThreads threads(kThreads);
  PeerTcpLink again(threads.Context(), IdentityOf("west"), handler, {});
  REQUIRE(state::IsOk(again.Listen(Loopback(port))));
  // Messages may be lost until the reconnect, so the test resends.
  std::uint64_t sequence = 2;
  bool is_reached = false;
  while (!is_reached && sequence < 1'000) {
    east.link.Send(Loopback(port), Numbered(sequence++));
    is_reached = handler.WaitBriefly();
  }
  threads.Stop();
  CHECK(is_reached);
}

TEST_CASE("A silent connection is closed and replaced") {
  PeerLinkLimits limits;
  limits.keep_alive_interval = state::Milliseconds(20);
  Host east("east", limits);
  BareListener listener;
  std::future<std::shared_ptr<tcp::socket>> first = listener.Accept();
  east.link.Send(Loopback(listener.Port()), Numbered(1));
  REQUIRE(first.wait_for(kTestTimeout) == std::future_status::ready);
  const std::shared_ptr<tcp::socket> silent = first.get();
  // No keep-alive is answered, so the sender must close the connection.
  REQUIRE(IsClosedByPeer(*silent, ""));
  CHECK(east.link.Counters().connections_silent == 1);
  std::future<std::shared_ptr<tcp::socket>> second = listener.Accept();
  east.link.Send(Loopback(listener.Port()), Numbered(2));
  CHECK(second.wait_for(kTestTimeout) == std::future_status::ready);
}

TEST_CASE(
    "A connection without messages is closed by the host that opened it") {
  PeerLinkLimits limits;
  limits.keep_alive_interval = state::Milliseconds(20);
  limits.idle_timeout = state::Milliseconds(60);
  Host east("east", limits);
  BareListener listener;
  std::future<std::shared_ptr<tcp::socket>> accepted = listener.Accept();
  east.link.Send(Loopback(listener.Port()), Numbered(1));
  REQUIRE(accepted.wait_for(kTestTimeout) == std::future_status::ready);
  const std::shared_ptr<tcp::socket> socket = accepted.get();
  REQUIRE(IsClosedByPeer(
      *socket,
      protocol::EncodePeerFrame(protocol::PeerFrameKind::kKeepAliveReply, "")));
  CHECK(east.link.Counters().connections_silent == 0);
}

TEST_CASE("An accepted connection without a complete frame is closed") {
  PeerLinkLimits limits;
  limits.receive_timeout = state::Milliseconds(20);
  Host host("host", limits);
  RawSocket socket(host.port);
  socket.Write(FrameOf(1).substr(0, 9));  // an incomplete frame
  CHECK(socket.IsClosedByPeer());
  CHECK(host.link.Counters().connections_silent == 1);
}

TEST_CASE("Connections beyond the limit are refused") {
  PeerLinkLimits limits;
  limits.max_incoming = 1;
  Host host("host", limits);
  RawSocket first(host.port);
  first.Write(FrameOf(1));
  REQUIRE(host.handler.WaitFor(1));
  RawSocket second(host.port);
  CHECK(second.IsClosedByPeer());
  CHECK(host.link.Counters().connections_refused == 1);
  first.Write(FrameOf(2));
  CHECK(host.handler.WaitFor(2));
}

TEST_CASE("The queue of a peer is bounded and drops the oldest frames") {
  PeerLinkLimits limits;
  limits.max_queued_messages = 8;
  Host east("east", limits);
  BareListener listener;
  // The listener reads nothing: socket buffers fill, then the queue.
  constexpr std::uint64_t kMessages = 200;
  coordination::PeerPatches large;
  large.patches.push_back({});
  large.patches[0].text = std::string(1u << 20, 'x');
  for (std::uint64_t count = 0; count < kMessages; ++count) {
    east.link.Send(Loopback(listener.Port()), large);
  }
  const PeerLinkCounters counters = east.link.Counters();
  CHECK(counters.messages_dropped > 0);
  CHECK(counters.messages_dropped < kMessages);
}

TEST_CASE("Messages queued for an unreachable peer are dropped") {
  Host east("east");
  std::uint16_t closed_port = 0;
  {
    BareListener listener;
    closed_port = listener.Port();
  }
  east.link.Send(Loopback(closed_port), Numbered(1));
  east.link.Send({"not an address", 1}, Numbered(2));
  Host west("west");
  east.link.Send(Loopback(west.port), Numbered(3));
  CHECK(west.handler.WaitForSequence(3));
}

TEST_CASE("Listen() reports an unusable address") {
  CollectingPeerHandler handler;
  IoThreads threads(1);
  PeerTcpLink link(threads.Context(), IdentityOf("a"), handler, {});
  const state::Result<std::uint16_t, TransportError> name =
      link.Listen({"localhost", 0});
  REQUIRE(!state::IsOk(name));
  CHECK(state::ErrorOf(name) == TransportError::kResolve);
  Host host("host");
  const state::Result<std::uint16_t, TransportError> taken =
      link.Listen(Loopback(host.port));
  REQUIRE(!state::IsOk(taken));
  CHECK(state::ErrorOf(taken) == TransportError::kListen);
  threads.Stop();
}

}  // namespace
}  // namespace banyanknot::transport
