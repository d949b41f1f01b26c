#ifndef BANYANKNOT_CTL_ENDPOINT_LIST_H_
#define BANYANKNOT_CTL_ENDPOINT_LIST_H_

#include <optional>
#include <string>
#include <vector>

#include "banyanknot/state/endpoint.h"

namespace banyanknot::ctl {

/// \brief Parses `ADDRESS:PORT[,ADDRESS:PORT...]`.
/// \returns nothing if the list is empty or any element is not an endpoint
std::optional<std::vector<state::Endpoint>> ParseEndpoints(
    const std::string& text);

}  // namespace banyanknot::ctl

#endif  // BANYANKNOT_CTL_ENDPOINT_LIST_H_
