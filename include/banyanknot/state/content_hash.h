#ifndef BANYANKNOT_STATE_CONTENT_HASH_H_
#define BANYANKNOT_STATE_CONTENT_HASH_H_

#include <cstdint>
#include <string_view>

namespace banyanknot::state {

/// \brief Returns the hash of `text`; the same on every host and release.
std::uint64_t ContentHash(std::string_view text);

}  // namespace banyanknot::state

#endif  // BANYANKNOT_STATE_CONTENT_HASH_H_
