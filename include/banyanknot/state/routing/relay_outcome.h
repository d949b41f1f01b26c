#ifndef BANYANKNOT_STATE_ROUTING_RELAY_OUTCOME_H_
#define BANYANKNOT_STATE_ROUTING_RELAY_OUTCOME_H_

#include <array>
#include <string_view>

#include "banyanknot/state/enum_names.h"

namespace banyanknot::state {

/// \brief How a relayed or gathered request ended.
enum class RelayOutcome {
  kAnswered,       ///< one server's reply, unchanged
  kWhole,          ///< merged from every shard
  kPartial,        ///< merged from enough shards
  kNotRun,         ///< no server has run it, and none will
  kFailed,         ///< a server may have run it; there is no usable answer
  kTimedOut,       ///< no usable answer before the deadline
  kNoRoute,        ///< no route matches it
  kNotConfigured,  ///< no routes are known yet; not run
  kInvalid,        ///< the request lacks a required part
  kAbandoned,      ///< the caller disconnected
  kUnauthorized,   ///< its key belongs to no workspace; not run
  kOverQuota,      ///< its workspace has used up its quota; not run
};

/// \brief Names of RelayOutcome as written in messages and logs.
inline constexpr std::array<EnumName<RelayOutcome>, 12> kRelayOutcomeNames{{
    {RelayOutcome::kAnswered, "answered"},
    {RelayOutcome::kWhole, "whole"},
    {RelayOutcome::kPartial, "partial"},
    {RelayOutcome::kNotRun, "not_run"},
    {RelayOutcome::kFailed, "failed"},
    {RelayOutcome::kTimedOut, "timed_out"},
    {RelayOutcome::kNoRoute, "no_route"},
    {RelayOutcome::kNotConfigured, "not_configured"},
    {RelayOutcome::kInvalid, "invalid"},
    {RelayOutcome::kAbandoned, "abandoned"},
    {RelayOutcome::kUnauthorized, "unauthorized"},
    {RelayOutcome::kOverQuota, "over_quota"},
}};

/// \brief Returns the name of a RelayOutcome.
constexpr std::string_view NameOf(RelayOutcome value) {
  return FindName(kRelayOutcomeNames, value);
}

}  // namespace banyanknot::state

#endif  // BANYANKNOT_STATE_ROUTING_RELAY_OUTCOME_H_
