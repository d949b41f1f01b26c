#include "banyanknot/protocol/hop_headers.h"

#include <algorithm>
#include <array>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <string>

namespace banyanknot::protocol {
namespace {

constexpr std::array<std::string_view, 9> kHopByHopHeaders{
    "Connection", "Keep-Alive",        "Proxy-Connection",
    "TE",         "Transfer-Encoding", "Upgrade",
    "Trailer",    "Content-Length",    "Proxy-Authorization"};

constexpr char ToLowerAscii(char letter) {
  return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter + 'a' - 'A')
                                        : letter;
}

}  // namespace

bool IsSameHeaderName(std::string_view left, std::string_view right) {
  // Header names are ASCII; a locale-aware comparison is many times slower.
  return left.size() == right.size() &&
         std::equal(left.begin(), left.end(), right.begin(),
                    [](char one, char other) {
                      return ToLowerAscii(one) == ToLowerAscii(other);
                    });
}

std::string_view HeaderValue(const std::vector<state::HeaderField>& headers,
                             std::string_view name) {
  for (const state::HeaderField& header : headers) {
    if (IsSameHeaderName(header.name, name)) return header.value;
  }
  return {};
}

std::size_t CountHeaders(const std::vector<state::HeaderField>& headers,
                         std::string_view name) {
  return static_cast<std::size_t>(std::count_if(
      headers.begin(), headers.end(), [name](const state::HeaderField& header) {
        return IsSameHeaderName(header.name, name);
      }));
}

void RemoveHeader(std::vector<state::HeaderField>& headers,
                  std::string_view name) {
  headers.erase(std::remove_if(headers.begin(), headers.end(),
                               [name](const state::HeaderField& header) {
                                 return IsSameHeaderName(header.name, name);
                               }),
                headers.end());
}

void RemoveHopByHopHeaders(std::vector<state::HeaderField>& headers) {
  const std::string connection(HeaderValue(headers, "Connection"));
  std::vector<std::string> listed_names;
  if (!connection.empty()) {
    boost::algorithm::split(listed_names, connection,
                            [](char letter) { return letter == ','; });
  }
  for (std::string& name : listed_names) {
    boost::algorithm::trim(name);
    if (!name.empty()) RemoveHeader(headers, name);
  }
  const auto is_hop_by_hop = [](const state::HeaderField& header) {
    return std::any_of(kHopByHopHeaders.begin(), kHopByHopHeaders.end(),
                       [&header](std::string_view name) {
                         return IsSameHeaderName(header.name, name);
                       });
  };
  headers.erase(std::remove_if(headers.begin(), headers.end(), is_hop_by_hop),
                headers.end());
}

}  // namespace banyanknot::protocol
