#ifndef BANYANKNOT_CTL_AUDIT_COMMAND_H_
#define BANYANKNOT_CTL_AUDIT_COMMAND_H_

#include "read_command.h"

namespace banyanknot::ctl {

/// \brief Prints the audit trail of each host, one JSON object per line.
class AuditCommand : public ReadCommand {
 public:
  using ReadCommand::ReadCommand;
  std::string_view Name() const override { return "audit"; }
  std::string_view Usage() const override {
    return "audit HOSTS         an event a line, as JSON, oldest first";
  }

 protected:
  std::size_t ExtraArguments() const override { return 0; }
  std::string Target(
      const std::vector<std::string>& extra_arguments) const override;
  void Print(const state::Endpoint& host, const std::string& body,
             std::ostream& out) const override;
};

}  // namespace banyanknot::ctl

#endif  // BANYANKNOT_CTL_AUDIT_COMMAND_H_
