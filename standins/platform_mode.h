#ifndef BANYANKNOT_STANDINS_PLATFORM_MODE_H_
#define BANYANKNOT_STANDINS_PLATFORM_MODE_H_

#include <array>
#include <string_view>

#include "banyanknot/state/enum_names.h"

namespace banyanknot::standins {

/// \brief How the platform stand-in treats its readers.
enum class PlatformMode {
  kUp,           ///< answers
  kRefusing,     ///< closes each connection without an answer
  kHanging,      ///< never answers
  kStale,        ///< answers from an older revision
  kConflicting,  ///< answers the right revisions with other content
};

/// \brief Names of PlatformMode, as they stand in administration requests.
inline constexpr std::array<state::EnumName<PlatformMode>, 5>
    kPlatformModeNames{{
        {PlatformMode::kUp, "up"},
        {PlatformMode::kRefusing, "refusing"},
        {PlatformMode::kHanging, "hanging"},
        {PlatformMode::kStale, "stale"},
        {PlatformMode::kConflicting, "conflicting"},
    }};

}  // namespace banyanknot::standins

#endif  // BANYANKNOT_STANDINS_PLATFORM_MODE_H_
