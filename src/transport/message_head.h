#ifndef BANYANKNOT_SRC_TRANSPORT_MESSAGE_HEAD_H_
#define BANYANKNOT_SRC_TRANSPORT_MESSAGE_HEAD_H_

#include <boost/beast/http/fields.hpp>
#include <cstddef>
#include <string_view>

namespace banyanknot::transport::internal {

/// \brief State of a partially received request line and header.
enum class HeadState {
  kIncomplete,
  kComplete,  ///< or too long, which the parser reports
  kFolded,    ///< a field continues on a second line
};

/// \brief Examines the bytes received of a request.
///
/// Folded fields must be rejected: HTTP implementations disagree on where such
/// a field ends, which allows request smuggling. The parser would join the
/// lines.
HeadState ExamineHead(std::string_view bytes, std::size_t max_header_bytes);

/// \brief Tells whether a field continues on a second line in a head that a
/// parser consumes line by line.
/// \param unparsed the bytes of the head that are not consumed yet, and maybe
///     some of the body
bool HasFoldedField(std::string_view unparsed);

/// \brief Returns where in `text`, at `from` or later, a status line begins,
/// with version and status at least; npos if none does.
std::size_t FindStatusLine(std::string_view text, std::size_t from = 0);

/// \brief Tells whether the body length is unambiguous to all HTTP
/// implementations: no Transfer-Encoding, or chunked alone and no
/// Content-Length.
bool HasUnambiguousLength(const boost::beast::http::fields& header);

}  // namespace banyanknot::transport::internal

#endif  // BANYANKNOT_SRC_TRANSPORT_MESSAGE_HEAD_H_
