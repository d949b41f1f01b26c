#ifndef BANYANKNOT_COORDINATION_WORKSPACE_CALLER_CHECK_H_
#define BANYANKNOT_COORDINATION_WORKSPACE_CALLER_CHECK_H_

#include <array>
#include <optional>
#include <string_view>

#include "banyanknot/state/enum_names.h"
#include "banyanknot/state/routing/route_table.h"
#include "banyanknot/state/util/time.h"

namespace banyanknot::coordination {

/// \brief What is decided of a caller by its key.
enum class CallerVerdict {
  kWorkspace,   ///< the key belongs to a workspace
  kAnonymous,   ///< the route needs no key and none was sent
  kNoKey,       ///< the route needs a key and none was sent
  kUnknownKey,  ///< no workspace has the key
  kUncertain,   ///< the view may be too old to tell; not run
};

/// \brief Names of CallerVerdict as written in logs.
inline constexpr std::array<state::EnumName<CallerVerdict>, 5>
    kCallerVerdictNames{{
        {CallerVerdict::kWorkspace, "workspace"},
        {CallerVerdict::kAnonymous, "anonymous"},
        {CallerVerdict::kNoKey, "no_key"},
        {CallerVerdict::kUnknownKey, "unknown_key"},
        {CallerVerdict::kUncertain, "uncertain"},
    }};

/// \brief Returns the name of a CallerVerdict.
constexpr std::string_view NameOf(CallerVerdict value) {
  return state::FindName(kCallerVerdictNames, value);
}

/// \brief How old a view may be to decide on keys.
struct KeyViewLimits {
  /// An older view may lack a key, or a route without keys, that was added
  /// since: an unknown or missing key is not refused for good.
  state::Duration unknown_key = state::Milliseconds(5'000);
  /// An older view may hold a key that was withdrawn since: no key is accepted.
  /// Nothing if a host that lost the source goes on accepting known keys.
  std::optional<state::Duration> known_key;
};

/// \brief The verdict on a caller, with its workspace if it has one.
struct CallerDecision {
  CallerVerdict verdict = CallerVerdict::kUncertain;
  state::WorkspacePtr workspace;
};

/// \brief Decides who a caller is.
/// \param key the digest of its key; nothing if it sent none
/// \param view_age see ConfigurationAge::Age()
/// \pre `table` has workspaces
CallerDecision CheckCaller(const state::RouteTable& table,
                           const state::Route& route,
                           const std::optional<state::KeyDigest>& key,
                           const std::optional<state::Duration>& view_age,
                           const KeyViewLimits& limits);

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_WORKSPACE_CALLER_CHECK_H_
