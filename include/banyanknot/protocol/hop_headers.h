#ifndef BANYANKNOT_PROTOCOL_HOP_HEADERS_H_
#define BANYANKNOT_PROTOCOL_HOP_HEADERS_H_

#include <string_view>
#include <vector>

#include "banyanknot/state/routing/header_field.h"

namespace banyanknot::protocol {

/// \brief Compares header names, which ignore case.
bool IsSameHeader(std::string_view left, std::string_view right);

/// \brief The value of the first header called `name`; empty if there is none.
std::string_view HeaderValue(const std::vector<state::HeaderField>& headers,
                             std::string_view name);

/// \brief Removes the headers that concern one connection only, those that
/// the Connection header names, and the length, which is written anew.
void RemoveHopHeaders(std::vector<state::HeaderField>& headers);

/// \brief Removes the headers called `name`.
void RemoveHeader(std::vector<state::HeaderField>& headers,
                  std::string_view name);

}  // namespace banyanknot::protocol

#endif  // BANYANKNOT_PROTOCOL_HOP_HEADERS_H_
