#ifndef BANYANKNOT_COORDINATION_FLEET_TEXT_SPLICES_H_
#define BANYANKNOT_COORDINATION_FLEET_TEXT_SPLICES_H_

#include <optional>
#include <string>
#include <vector>

#include "banyanknot/coordination/peer_message.h"

namespace banyanknot::coordination {

/// \brief Finds the splices that turn `base` into `target`.
///
/// Runs in time linear in both sizes. Correct for any two texts; the result is
/// small if they share long ranges in the same order.
/// \sa ApplySplices
std::vector<TextSplice> FindSplices(const std::string& base,
                                    const std::string& target);

/// \brief Applies splices to `base`.
/// \returns std::nullopt if the splices overlap, are out of order or reach past
///     the end of `base`
std::optional<std::string> ApplySplices(const std::string& base,
                                        const std::vector<TextSplice>& splices);

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_FLEET_TEXT_SPLICES_H_
