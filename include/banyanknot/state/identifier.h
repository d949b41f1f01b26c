#ifndef BANYANKNOT_STATE_IDENTIFIER_H_
#define BANYANKNOT_STATE_IDENTIFIER_H_

#include <cstddef>
#include <functional>
#include <string>
#include <utility>

namespace banyanknot::state {

/// \brief A string identifier whose type `Tag` keeps kinds from being mixed.
///
/// Identifiers of up to 15 bytes need no allocation.
template <typename Tag>
class Identifier {
 public:
  Identifier() = default;
  explicit Identifier(std::string text) : text(std::move(text)) {}

  const std::string& Text() const { return this->text; }
  bool IsEmpty() const { return this->text.empty(); }

  friend bool operator==(const Identifier& left, const Identifier& right) {
    return left.text == right.text;
  }
  friend bool operator!=(const Identifier& left, const Identifier& right) {
    return left.text != right.text;
  }
  friend bool operator<(const Identifier& left, const Identifier& right) {
    return left.text < right.text;
  }

 private:
  std::string text;
};

using HostId = Identifier<struct HostTag>;
using ServerId = Identifier<struct ServerTag>;
using ServiceId = Identifier<struct ServiceTag>;
using FailureDomainId = Identifier<struct FailureDomainTag>;
using WorkspaceId = Identifier<struct WorkspaceTag>;
/// \brief Identifies one start of a backend server; a restart has another.
using InstanceId = Identifier<struct InstanceTag>;

}  // namespace banyanknot::state

namespace std {

template <typename Tag>
struct hash<banyanknot::state::Identifier<Tag>> {
  size_t operator()(const banyanknot::state::Identifier<Tag>& id) const {
    return hash<string>()(id.Text());
  }
};

}  // namespace std

#endif  // BANYANKNOT_STATE_IDENTIFIER_H_
