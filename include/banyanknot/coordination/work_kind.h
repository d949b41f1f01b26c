#ifndef BANYANKNOT_COORDINATION_WORK_KIND_H_
#define BANYANKNOT_COORDINATION_WORK_KIND_H_

#include <array>
#include <string_view>

#include "banyanknot/state/enum_names.h"

namespace banyanknot::coordination {

/// \brief Role of a sub-request within its query.
enum class WorkKind {
  kFirst,  ///< the first attempt at a shard
  kHedge,  ///< a second attempt while the first is still open
  kRetry,  ///< a further attempt after a failure
  kProbe,  ///< a slow-start probe; no caller waits for it
};

/// \brief Names of WorkKind, as they stand in messages and logs.
inline constexpr std::array<state::EnumName<WorkKind>, 4> kWorkKindNames{{
    {WorkKind::kFirst, "first"},
    {WorkKind::kHedge, "hedge"},
    {WorkKind::kRetry, "retry"},
    {WorkKind::kProbe, "probe"},
}};

/// \brief Returns the name of a WorkKind.
constexpr std::string_view NameOf(WorkKind value) {
  return state::FindName(kWorkKindNames, value);
}

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_WORK_KIND_H_
