#include "banyanknot/protocol/key_digest.h"

#include <boost/uuid/detail/sha1.hpp>
#include <cstdio>
#include <string>
#include <utility>

namespace banyanknot::protocol {
namespace {

constexpr std::size_t kDigestChars = 40;

}  // namespace

state::KeyDigest DigestOfKey(std::string_view key) {
  boost::uuids::detail::sha1 hash;
  hash.process_bytes(key.data(), key.size());
  boost::uuids::detail::sha1::digest_type words;
  hash.get_digest(words);
  std::string text;
  for (const unsigned int word : words) {
    char digits[9];
    std::snprintf(digits, sizeof(digits), "%08x", word);
    text += digits;
  }
  return state::KeyDigest(std::move(text));
}

bool IsKeyDigest(std::string_view text) {
  return text.size() == kDigestChars &&
         text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

}  // namespace banyanknot::protocol
