#ifndef BANYANKNOT_CTL_CHECK_ROUTES_COMMAND_H_
#define BANYANKNOT_CTL_CHECK_ROUTES_COMMAND_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "banyanknot/coordination/routing/routes_document.h"
#include "command.h"

namespace banyanknot::ctl {

/// \brief Checks a document of routes before it is published, and compares it
/// with the one in force.
///
/// Exit status: kOk, also if the documents differ; kFault if something was
/// found; kUsage if a file can't be read or the document in force is invalid.
class CheckRoutesCommand : public Command {
 public:
  explicit CheckRoutesCommand(const coordination::RoutesReader& reader)
      : reader(reader) {}
  std::string_view Name() const override { return "check_routes"; }
  std::string_view Usage() const override {
    return "check_routes FILE [IN_FORCE]  list each fault, and what differs";
  }
  ExitStatus Run(const std::vector<std::string>& arguments, std::ostream& out,
                 std::ostream& err) override;

 private:
  /// Returns null, with a line in `err`, if the document in force is invalid.
  std::unique_ptr<coordination::RoutesDocument> ReadInForce(
      const std::string& file, std::ostream& err) const;

  const coordination::RoutesReader& reader;
};

}  // namespace banyanknot::ctl

#endif  // BANYANKNOT_CTL_CHECK_ROUTES_COMMAND_H_
