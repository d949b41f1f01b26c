#ifndef BANYANKNOT_PROTOCOL_HOP_HEADERS_H_
#define BANYANKNOT_PROTOCOL_HOP_HEADERS_H_

#include <cstddef>
#include <string_view>
#include <vector>

#include "banyanknot/state/routing/header_field.h"

namespace banyanknot::protocol {

/// \brief Tells whether two header names are equal, ignoring ASCII case.
bool IsSameHeaderName(std::string_view left, std::string_view right);

/// \brief Returns the value of the first header called `name`, or an empty
/// view.
std::string_view HeaderValue(const std::vector<state::HeaderField>& headers,
                             std::string_view name);
/// \brief Returns how many headers of a name there are.
std::size_t CountHeaders(const std::vector<state::HeaderField>& headers,
                         std::string_view name);

/// \brief Removes the hop-by-hop headers, including those that the Connection
/// header lists, and Content-Length, which the sender writes anew.
void RemoveHopByHopHeaders(std::vector<state::HeaderField>& headers);

/// \brief Removes all headers called `name`.
void RemoveHeader(std::vector<state::HeaderField>& headers,
                  std::string_view name);

}  // namespace banyanknot::protocol

#endif  // BANYANKNOT_PROTOCOL_HOP_HEADERS_H_
