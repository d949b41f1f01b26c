#ifndef BANYANKNOT_PROTOCOL_FLEET_CODEC_H_
#define BANYANKNOT_PROTOCOL_FLEET_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "banyanknot/coordination/delegation/host_link.h"
#include "banyanknot/coordination/quota/quota_link.h"
#include "banyanknot/protocol/http_message.h"
#include "banyanknot/protocol/protocol_error.h"
#include "banyanknot/state/result.h"
#include "banyanknot/state/routing/host_advert.h"

namespace banyanknot::protocol {

/// \file
/// \brief Messages between relay hosts: adverts, and requests passed on.

/// \brief Path at which a relay host takes adverts and returns its own (POST).
inline constexpr const char* kAdvertsPath = "/fleet/adverts";
/// \brief Path at which a relay host shows that a connection works (GET).
inline constexpr const char* kFleetLivePath = "/fleet/live";
/// \brief Path at which a relay host passes on published changes (GET). Its
/// query has `after`, `wait_ms` and, unless it is 0, `era`, or nothing for all
/// that is published.
inline constexpr const char* kChangesPath = "/fleet/changes";
/// \brief Header of a reply to a request that was not started; says why.
inline constexpr const char* kDeclinedHeader = "Banyanknot-Declined";

/// \brief Header of every answer to a request that was started. A response
/// without it comes from the HTTP layer, which started nothing.
inline constexpr const char* kGatheredHeader = "Banyanknot-Gathered";

/// \brief Writes adverts; the first is the sender's.
std::string EncodeAdverts(const std::vector<state::HostAdvert>& adverts);

/// \brief Reads the output of EncodeAdverts().
/// \returns at most kMaxAdverts adverts, or the first error found
state::Result<std::vector<state::HostAdvert>, ProtocolError> DecodeAdverts(
    const std::string& text);
inline constexpr std::size_t kMaxAdverts = 16;
/// \brief Maximum size of encoded adverts, in bytes.
inline constexpr std::size_t kMaxAdvertsBytes = 16u << 10;

/// \brief Path at which a relay host takes requests for credit (POST).
inline constexpr const char* kCreditPath = "/fleet/credit";
/// \brief Maximum size of an encoded request for credit or its answer, in
/// bytes.
inline constexpr std::size_t kMaxCreditBytes = 4u << 10;

std::string EncodeCreditRequest(const coordination::CreditRequest& request);
/// \returns the request, or the first error found
state::Result<coordination::CreditRequest, ProtocolError> DecodeCreditRequest(
    const std::string& text);
std::string EncodeCreditGrant(const coordination::CreditGrant& grant);
/// \returns the grant, or the first error found
state::Result<coordination::CreditGrant, ProtocolError> DecodeCreditGrant(
    const std::string& text);

/// \brief Writes published changes for another host.
std::string EncodePassedChanges(const coordination::PassedChanges& passed);

/// \brief Reads the output of EncodePassedChanges().
/// \returns the changes, or the first error found
state::Result<coordination::PassedChanges, ProtocolError> DecodePassedChanges(
    const std::string& text);
/// \brief Maximum size of passed changes, in bytes.
inline constexpr std::size_t kMaxPassedBytes = 8u << 20;

/// \brief A request for published changes.
struct ChangesQuery {
  bool wants_snapshot = false;
  state::SourcePosition after;
  state::Duration wait{0};
};

std::string EncodeChangesTarget(const ChangesQuery& query);
/// \returns nothing for a target of another form
std::optional<ChangesQuery> DecodeChangesTarget(const std::string& target);

/// \brief What one host says of a request that it passes to another.
struct DelegationHeader {
  std::uint64_t routes_version = 0;
  state::Duration elapsed{0};       ///< since the first host received it
  state::Duration outside_time{0};  ///< as in state::RelayRequest
  state::WorkspaceId workspace;     ///< as in state::RelayRequest
  std::optional<unsigned> priority;
};

/// \brief Adds the headers for another host to a request.
void AddDelegationHeader(const DelegationHeader& delegation,
                         HttpRequest& request);

/// \brief Removes the headers of AddDelegationHeader() from a request.
/// \returns them; kMissing for a request without them; kMalformed for those of
///     another protocol version or with unreadable numbers
state::Result<DelegationHeader, ProtocolErrorCode> TakeDelegationHeader(
    HttpRequest& request);

}  // namespace banyanknot::protocol

#endif  // BANYANKNOT_PROTOCOL_FLEET_CODEC_H_
