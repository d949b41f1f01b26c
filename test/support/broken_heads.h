#ifndef BANYANKNOT_TEST_SUPPORT_BROKEN_HEADS_H_
#define BANYANKNOT_TEST_SUPPORT_BROKEN_HEADS_H_

#include <cstdio>
#include <string>
#include <vector>

namespace banyanknot::testing {

/// \brief How a body ends.
enum class Framing {
  kLength,
  kClose,   ///< with the connection, unless the head says otherwise
  kChunks,  ///< in one chunk, if the head says so
};

/// \brief A response head that can't be that of a final answer.
struct BrokenHead {
  std::string name;
  std::string status = "200 OK";
  std::string lines;  ///< after the other fields, before the length
  Framing framing = Framing::kLength;

  /// \param fields whole lines
  std::string Response(const std::string& fields,
                       const std::string& body) const {
    std::string head =
        "HTTP/1.1 " + this->status + "\r\n" + fields + this->lines;
    if (this->framing == Framing::kLength) {
      head += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    head += "\r\n";
    if (this->framing != Framing::kChunks || body.empty()) return head + body;
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", body.size());
    return head + size + body + "\r\n0\r\n\r\n";
  }
};

/// \brief Returns one head for each way to be broken.
inline std::vector<BrokenHead> AllBrokenHeads() {
  return {
      {"status 000", "000 Odd", ""},
      {"status 001", "001 Odd", ""},
      {"status 099", "099 Odd", ""},
      {"unasked switch of protocols", "101 Switching Protocols", ""},
      {"status 600", "600 Odd", ""},
      {"status 999", "999 Odd", ""},
      {"blank in a name", "200 OK", "X Odd: 1\r\n"},
      {"blank before a colon", "200 OK", "X-Odd : 1\r\n"},
      {"tab in a name", "200 OK", "X\tOdd: 1\r\n"},
      {"control byte in a name", "200 OK", "X\x01Odd: 1\r\n"},
      {"null byte in a name", "200 OK", "X" + std::string(1, '\0') + ": 1\r\n"},
      {"delete byte in a name", "200 OK", "X\x7fOdd: 1\r\n"},
      {"non-ASCII byte in a name", "200 OK", "X\xe9: 1\r\n"},
      {"empty name", "200 OK", ": 1\r\n"},
      {"line without a colon", "200 OK", "X-Odd\r\n"},
      {"line feed alone", "200 OK", "X-Odd: 1\nX-More: 2\r\n"},
      {"carriage return alone", "200 OK", "X-Odd: 1\rX-More: 2\r\n"},
      {"null byte in a value", "200 OK",
       "X-Odd: " + std::string(1, '\0') + "\r\n"},
      {"blank in the name of the length", "200 OK", "Content Length: 5\r\n",
       Framing::kClose},
      {"blank after the name of the length", "200 OK", "Content-Length : 5\r\n",
       Framing::kClose},
      {"control byte in the name of the length", "200 OK",
       "Content\x0bLength: 5\r\n", Framing::kClose},
      {"blank before a name", "200 OK", " X-Odd: 1\r\n"},
      {"tab before a name", "200 OK", "\tX-Odd: 1\r\n"},
      {"blank before the name of the length", "200 OK",
       " Content-Length: 5\r\n", Framing::kClose},
      {"transfer coding without chunks", "200 OK",
       "Transfer-Encoding: gzip\r\n", Framing::kClose},
      {"transfer coding beside a length", "200 OK",
       "Transfer-Encoding: gzip\r\n"},
      {"transfer coding before chunks", "200 OK",
       "Transfer-Encoding: gzip, chunked\r\n", Framing::kChunks},
      {"chunks twice", "200 OK", "Transfer-Encoding: chunked, chunked\r\n",
       Framing::kChunks},
      {"misspelt chunks", "200 OK", "Transfer-Encoding: xchunked\r\n",
       Framing::kChunks},
      {"chunks beside a length", "200 OK", "Transfer-Encoding: chunked\r\n"},
      {"two lengths", "200 OK", "Content-Length: 1\r\n"},
      {"empty length", "200 OK", "Content-Length: \r\n", Framing::kClose},
      {"negative length", "200 OK", "Content-Length: -5\r\n", Framing::kClose},
      {"length beyond all numbers", "200 OK",
       "Content-Length: 99999999999999999999\r\n", Framing::kClose},
      {"no content, with a length", "204 No Content", ""},
      {"no content, in chunks", "204 No Content",
       "Transfer-Encoding: chunked\r\n", Framing::kChunks},
      {"cut in its status line, another after it",
       "200 OHTTP/1.1 503 Service Unavailable", ""},
      {"cut in a field, another after it", "200 OK",
       "Date: MonHTTP/1.1 503 Service Unavailable\r\n"},
      {"cut after a field's name, another after it", "200 OK",
       "X-Odd: HTTP/1.0 429 \r\n"},
  };
}

}  // namespace banyanknot::testing

#endif  // BANYANKNOT_TEST_SUPPORT_BROKEN_HEADS_H_
