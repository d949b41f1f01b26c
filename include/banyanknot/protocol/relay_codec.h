#ifndef BANYANKNOT_PROTOCOL_RELAY_CODEC_H_
#define BANYANKNOT_PROTOCOL_RELAY_CODEC_H_

#include <string>

#include "banyanknot/coordination/routing/relay_answer.h"
#include "banyanknot/coordination/routing/relay_client.h"
#include "banyanknot/protocol/http_message.h"

namespace banyanknot::protocol {

/// \brief Encoding of relayed requests towards callers and backend servers.
///
/// Implementations are stateless and thread-safe; they translate messages and
/// leave all decisions to coordination.
class RelayCodec {
 public:
  virtual ~RelayCodec() = default;

  /// \brief Decodes a caller's request, received at `now`.
  ///
  /// The request's id is empty if the caller gave none.
  virtual state::RelayRequest DecodeRequest(const HttpRequest& request,
                                            state::TimePoint now) const = 0;
  /// \brief Encodes the answer to the caller.
  virtual HttpResponse EncodeAnswer(const coordination::RelayAnswer& answer,
                                    const std::string& request_id) const = 0;

  /// \brief Encodes a request to a backend server.
  /// \param remaining time left until the deadline, as stated to the server
  virtual HttpRequest EncodeSend(const coordination::RelaySend& send,
                                 state::Duration remaining) const = 0;
  /// \brief Encodes a caller's request for another host, which decodes it by
  /// DecodeRequest().
  virtual HttpRequest EncodeDelegated(
      const state::RelayRequest& request) const = 0;
  /// \brief Returns true if a response names `request_id` as its request.
  ///
  /// Servers may send responses to earlier requests and health checks late, so
  /// one that names no request proves nothing.
  virtual bool IsReplyTo(const HttpResponse& response,
                         const std::string& request_id) const = 0;
  /// \brief Decodes a backend server's reply.
  /// \pre IsReplyTo() holds for the request that it is taken for
  virtual coordination::RelayReply DecodeReply(HttpResponse response) const = 0;

  /// \brief Encodes a health check of the server at `endpoint`.
  virtual HttpRequest EncodeHealthCheck(const state::Endpoint& endpoint,
                                        const std::string& path) const = 0;
  /// \brief Returns true if a response is one to a health check, not to a
  /// request: it names no request, and a success names its server.
  virtual bool IsHealthResponse(const HttpResponse& response) const = 0;
  /// \brief Decodes the response to a health check.
  /// \pre IsHealthResponse() holds
  virtual coordination::ServerHealth DecodeHealth(
      const HttpResponse& response) const = 0;

  /// \brief Returns the path at which the load balancer checks the readiness of
  /// the host.
  virtual std::string ReadyPath() const = 0;
};

}  // namespace banyanknot::protocol

#endif  // BANYANKNOT_PROTOCOL_RELAY_CODEC_H_
