#include <cstdint>
#include <string>
#include <vector>

#include "banyanknot/transport/peer_tcp_link.h"

namespace banyanknot::transport {
namespace {

struct CounterRow {
  const char* name;
  const char* help;
  std::uint64_t PeerLinkCounters::*counter;
};

constexpr CounterRow kCounterMetrics[] = {
    {"banyanknot_peer_messages_sent_total", "Messages to other hosts.",
     &PeerLinkCounters::messages_sent},
    {"banyanknot_peer_bytes_sent_total", "Bytes of frames sent to other hosts.",
     &PeerLinkCounters::bytes_sent},
    {"banyanknot_peer_messages_received_total", "Messages of other hosts.",
     &PeerLinkCounters::messages_received},
    {"banyanknot_peer_messages_dropped_total",
     "Messages dropped: queue full, too large or host not reached.",
     &PeerLinkCounters::messages_dropped},
    {"banyanknot_peer_messages_unknown_total",
     "Messages and frames of kinds that only later releases know.",
     &PeerLinkCounters::unknown_messages},
    {"banyanknot_peer_frames_bad_total",
     "Frames that could not be read; each closed its connection.",
     &PeerLinkCounters::bad_frames},
    {"banyanknot_peer_connections_opened_total",
     "Connections opened to other hosts.",
     &PeerLinkCounters::connections_opened},
    {"banyanknot_peer_connections_failed_total",
     "Connections to other hosts that could not be made.",
     &PeerLinkCounters::connections_failed},
    {"banyanknot_peer_connections_silent_total",
     "Connections that went silent and were closed.",
     &PeerLinkCounters::connections_silent},
    {"banyanknot_peer_connections_refused_total",
     "Connections of other hosts beyond the bound.",
     &PeerLinkCounters::connections_refused},
};

}  // namespace

void PeerTcpLink::CollectMetrics(
    std::vector<coordination::MetricSample>& samples) const {
  const PeerLinkCounters counters = this->Counters();
  for (const CounterRow& row : kCounterMetrics) {
    samples.push_back({row.name,
                       row.help,
                       coordination::MetricKind::kCounter,
                       {},
                       static_cast<double>(counters.*row.counter)});
  }
}

}  // namespace banyanknot::transport
