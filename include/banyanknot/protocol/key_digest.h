#ifndef BANYANKNOT_PROTOCOL_KEY_DIGEST_H_
#define BANYANKNOT_PROTOCOL_KEY_DIGEST_H_

#include <string_view>

#include "banyanknot/state/routing/workspace.h"

namespace banyanknot::protocol {

/// \brief Returns the SHA-1 hash of a key, as 40 hexadecimal digits.
state::KeyDigest DigestOfKey(std::string_view key);

/// \brief Returns true for a text of the form that DigestOfKey() returns.
bool IsKeyDigest(std::string_view text);

}  // namespace banyanknot::protocol

#endif  // BANYANKNOT_PROTOCOL_KEY_DIGEST_H_
