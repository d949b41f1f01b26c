#include "banyanknot/state/content_hash.h"

#include <xxhash.h>

namespace banyanknot::state {

std::uint64_t ContentHash(std::string_view text) {
  return XXH3_64bits(text.data(), text.size());
}

}  // namespace banyanknot::state
