#ifndef BANYANKNOT_SRC_TRANSPORT_REQUEST_HEAD_H_
#define BANYANKNOT_SRC_TRANSPORT_REQUEST_HEAD_H_

#include <boost/beast/http/fields.hpp>
#include <cstddef>
#include <string_view>

namespace banyanknot::transport::internal {

/// \brief What has come of a request's line and header.
enum class HeadState {
  kIncomplete,
  kComplete,  ///< or too long, which the parser tells
  kFolded,    ///< a field goes on in a second line
};

/// \brief Looks at the bytes that have come of a request.
///
/// Folded fields are refused: readers disagree on where such a field ends, so
/// that a second request may hide in the first. The parser joins them.
HeadState ExamineHead(std::string_view bytes, std::size_t max_header_bytes);

/// \brief Tells whether all readers agree on where the body ends: it has a
/// length, or comes in chunks and nothing else.
bool HasUnambiguousLength(const boost::beast::http::fields& header);

}  // namespace banyanknot::transport::internal

#endif  // BANYANKNOT_SRC_TRANSPORT_REQUEST_HEAD_H_
