#ifndef BANYANKNOT_TEST_SUPPORT_BROKEN_HEADS_H_
#define BANYANKNOT_TEST_SUPPORT_BROKEN_HEADS_H_

#include <string>
#include <vector>

namespace banyanknot::testing {

/// \brief A response head that can't be that of a final answer.
struct BrokenHead {
  std::string name;
  std::string status = "200 OK";
  std::string lines;  ///< after the other fields, before the length
  bool has_length = true;

  /// \param fields whole lines
  std::string Response(const std::string& fields,
                       const std::string& body) const {
    const std::string length =
        this->has_length
            ? "Content-Length: " + std::to_string(body.size()) + "\r\n"
            : "";
    return "HTTP/1.1 " + this->status + "\r\n" + fields + this->lines + length +
           "\r\n" + body;
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
       false},
      {"blank after the name of the length", "200 OK", "Content-Length : 5\r\n",
       false},
      {"control byte in the name of the length", "200 OK",
       "Content\x0bLength: 5\r\n", false},
      {"blank before a name", "200 OK", " X-Odd: 1\r\n"},
      {"tab before a name", "200 OK", "\tX-Odd: 1\r\n"},
      {"blank before the name of the length", "200 OK",
       " Content-Length: 5\r\n", false},
  };
}

}  // namespace banyanknot::testing

#endif  // BANYANKNOT_TEST_SUPPORT_BROKEN_HEADS_H_
