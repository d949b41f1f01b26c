#include "banyanknot/protocol/hop_headers.h"

#include <algorithm>
#include <array>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <string>

namespace banyanknot::protocol {
namespace {

constexpr std::array<std::string_view, 9> kHopHeaders{
    "Connection", "Keep-Alive",        "Proxy-Connection",
    "TE",         "Transfer-Encoding", "Upgrade",
    "Trailer",    "Content-Length",    "Proxy-Authorization"};

constexpr char ToLowerAscii(char letter) {
  return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter + 'a' - 'A')
                                        : letter;
}

}  // namespace

bool IsSameHeader(std::string_view left, std::string_view right) {
  // Header names are ASCII; a comparison by locale costs many times as much.
  return left.size() == right.size() &&
         std::equal(left.begin(), left.end(), right.begin(),
                    [](char one, char other) {
                      return ToLowerAscii(one) == ToLowerAscii(other);
                    });
}

std::string_view HeaderValue(const std::vector<state::HeaderField>& headers,
                             std::string_view name) {
  for (const state::HeaderField& header : headers) {
    if (IsSameHeader(header.name, name)) return header.value;
  }
  return {};
}

void RemoveHeader(std::vector<state::HeaderField>& headers,
                  std::string_view name) {
  headers.erase(std::remove_if(headers.begin(), headers.end(),
                               [name](const state::HeaderField& header) {
                                 return IsSameHeader(header.name, name);
                               }),
                headers.end());
}

void RemoveHopHeaders(std::vector<state::HeaderField>& headers) {
  const std::string connection(HeaderValue(headers, "Connection"));
  std::vector<std::string> named;
  if (!connection.empty()) {
    boost::algorithm::split(named, connection,
                            [](char letter) { return letter == ','; });
  }
  for (std::string& name : named) {
    boost::algorithm::trim(name);
    if (!name.empty()) RemoveHeader(headers, name);
  }
  const auto concerns_connection = [](const state::HeaderField& header) {
    return std::any_of(kHopHeaders.begin(), kHopHeaders.end(),
                       [&header](std::string_view name) {
                         return IsSameHeader(header.name, name);
                       });
  };
  headers.erase(
      std::remove_if(headers.begin(), headers.end(), concerns_connection),
      headers.end());
}

}  // namespace banyanknot::protocol
