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
  };
}

}  // namespace banyanknot::testing

#endif  // BANYANKNOT_TEST_SUPPORT_BROKEN_HEADS_H_
