#ifndef BANYANKNOT_COORDINATION_ROUTING_SERVER_CHOICE_H_
#define BANYANKNOT_COORDINATION_ROUTING_SERVER_CHOICE_H_

#include <array>
#include <cstddef>
#include <string_view>
#include <vector>

#include "banyanknot/coordination/routing/server_observation.h"
#include "banyanknot/state/enum_names.h"

namespace banyanknot::coordination {

/// \brief The implementations of ServerChoice that settings can name.
enum class ServerChoiceKind {
  kLeastCost,   ///< the server of the least estimated time
  kTwoChoices,  ///< the better of two servers drawn at random
};

/// \brief Names of ServerChoiceKind in settings.
inline constexpr std::array<state::EnumName<ServerChoiceKind>, 2>
    kServerChoiceKindNames{{
        {ServerChoiceKind::kLeastCost, "least_cost"},
        {ServerChoiceKind::kTwoChoices, "two_choices"},
    }};

/// \brief Returns the name of a ServerChoiceKind.
constexpr std::string_view NameOf(ServerChoiceKind value) {
  return state::FindName(kServerChoiceKindNames, value);
}

/// \brief Decides which of the servers with capacity gets a request.
///
/// Implementations are thread-safe.
class ServerChoice {
 public:
  virtual ~ServerChoice() = default;

  /// \param candidates servers that can take a request now
  /// \returns an index into `candidates`
  /// \pre `candidates` is not empty
  virtual std::size_t Choose(
      const std::vector<ServerObservation>& candidates) const = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_SERVER_CHOICE_H_
