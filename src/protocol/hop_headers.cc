#include "banyanknot/protocol/hop_headers.h"

#include <algorithm>
#include <array>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <string>

namespace banyanknot::protocol {
namespace {

constexpr std::array<std::string_view, 9> kHopHeaders{
    "Connection", "Keep-Alive",        "Proxy-Connection",
    "TE",         "Transfer-Encoding", "Upgrade",
    "Trailer",    "Content-Length",    "Proxy-Authorization"};

}  // namespace

bool IsSameHeader(std::string_view left, std::string_view right) {
  return boost::algorithm::iequals(left, right);
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
  boost::algorithm::split(named, connection,
                          [](char letter) { return letter == ','; });
  for (std::string& name : named) {
    boost::algorithm::trim(name);
    if (!name.empty()) RemoveHeader(headers, name);
  }
  for (const std::string_view name : kHopHeaders) RemoveHeader(headers, name);
}

}  // namespace banyanknot::protocol
