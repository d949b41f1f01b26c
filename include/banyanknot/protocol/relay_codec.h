#ifndef BANYANKNOT_PROTOCOL_RELAY_CODEC_H_
#define BANYANKNOT_PROTOCOL_RELAY_CODEC_H_

#include <string>

#include "banyanknot/coordination/routing/relay_answer.h"
#include "banyanknot/coordination/routing/relay_client.h"
#include "banyanknot/protocol/http_message.h"

namespace banyanknot::protocol {

/// \brief How relayed requests look to callers and to backend servers.
///
/// Stateless; translates and decides nothing.
class RelayCodec {
 public:
  virtual ~RelayCodec() = default;

  /// \brief Reads a caller's request; the id is empty if it has none.
  virtual state::RelayRequest DecodeRequest(const HttpRequest& request,
                                            state::TimePoint now) const = 0;
  virtual HttpResponse EncodeAnswer(const coordination::RelayAnswer& answer,
                                    const std::string& request_id) const = 0;

  /// \param time_left what the server is told of the deadline
  virtual HttpRequest EncodeSend(const coordination::RelaySend& send,
                                 state::Duration time_left) const = 0;
  virtual coordination::RelayReply DecodeReply(
      HttpResponse response, const std::string& request_id) const = 0;

  virtual HttpRequest EncodeHealthQuestion(const state::Endpoint& endpoint,
                                           const std::string& path) const = 0;
  virtual coordination::ServerHealth DecodeHealth(
      const HttpResponse& response) const = 0;

  /// \brief Path on which the balancer asks whether the host is ready.
  virtual std::string ReadyPath() const = 0;
};

}  // namespace banyanknot::protocol

#endif  // BANYANKNOT_PROTOCOL_RELAY_CODEC_H_
