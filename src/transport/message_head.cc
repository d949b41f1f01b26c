#include "transport/message_head.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>

namespace banyanknot::transport::internal {

namespace beast = boost::beast;
namespace http = beast::http;

HeadState ExamineHead(std::string_view bytes, std::size_t max_header_bytes) {
  constexpr std::string_view kEnd = "\r\n\r\n";
  const std::size_t end = bytes.find(kEnd);
  const std::string_view head = bytes.substr(0, end);
  for (std::size_t line = head.find('\n'); line != std::string_view::npos;
       line = head.find('\n', line + 1)) {
    const char next = line + 1 < head.size() ? head[line + 1] : '\0';
    if (next == ' ' || next == '\t') return HeadState::kFolded;
  }
  const bool is_over = end != std::string_view::npos ||
                       bytes.size() > max_header_bytes + kEnd.size();
  return is_over ? HeadState::kComplete : HeadState::kIncomplete;
}

bool HasFoldedField(std::string_view unparsed) {
  constexpr std::string_view kLineEnd = "\r\n";
  for (std::size_t line = 0; line < unparsed.size();) {
    if (unparsed[line] == ' ' || unparsed[line] == '\t') return true;
    if (unparsed.substr(line, kLineEnd.size()) == kLineEnd) break;
    const std::size_t end = unparsed.find('\n', line);
    if (end == std::string_view::npos) break;
    line = end + 1;
  }
  return false;
}

std::size_t FindStatusLine(std::string_view text, std::size_t from) {
  constexpr std::string_view kVersion = "HTTP/1.";
  const auto is_digit = [](char letter) {
    return letter >= '0' && letter <= '9';
  };
  for (std::size_t at = text.find(kVersion, from); at != std::string_view::npos;
       at = text.find(kVersion, at + 1)) {
    const std::string_view rest = text.substr(at + kVersion.size());
    // The minor version, a blank and the status.
    if (rest.size() >= 5 && is_digit(rest[0]) && rest[1] == ' ' &&
        std::all_of(rest.begin() + 2, rest.begin() + 5, is_digit)) {
      return at;
    }
  }
  return std::string_view::npos;
}

bool HasUnambiguousLength(const http::fields& header) {
  const auto encodings = header.equal_range(http::field::transfer_encoding);
  if (encodings.first == encodings.second) return true;
  return std::next(encodings.first) == encodings.second &&
         beast::iequals(encodings.first->value(), "chunked") &&
         header.count(http::field::content_length) == 0;
}

}  // namespace banyanknot::transport::internal
