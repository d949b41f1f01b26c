#include "banyanknot/coordination/workspace/caller_check.h"

namespace banyanknot::coordination {
namespace {

bool IsWithin(const std::optional<state::Duration>& age,
              state::Duration limit) {
  return age && *age <= limit;
}

}  // namespace

CallerDecision CheckCaller(const state::RouteTable& table,
                           const state::Route& route,
                           const std::optional<state::KeyDigest>& key,
                           const std::optional<state::Duration>& view_age,
                           const KeyViewLimits& limits) {
  const bool may_refuse = IsWithin(view_age, limits.unknown_key);
  if (!key) {
    if (!route.needs_key) return {CallerVerdict::kAnonymous, nullptr};
    return {may_refuse ? CallerVerdict::kNoKey : CallerVerdict::kUncertain,
            nullptr};
  }
  if (limits.known_key && !IsWithin(view_age, *limits.known_key)) {
    return {CallerVerdict::kUncertain, nullptr};
  }
  const state::WorkspacePtr workspace = table.FindWorkspace(*key);
  if (workspace != nullptr) return {CallerVerdict::kWorkspace, workspace};
  return {may_refuse ? CallerVerdict::kUnknownKey : CallerVerdict::kUncertain,
          nullptr};
}

}  // namespace banyanknot::coordination
