#ifndef BANYANKNOT_CTL_EXPLAIN_COMMAND_H_
#define BANYANKNOT_CTL_EXPLAIN_COMMAND_H_

#include "read_command.h"

namespace banyanknot::ctl {

/// \brief Prints the state of each replica of a service as a host's routing
/// sees it.
class ExplainCommand : public ReadCommand {
 public:
  using ReadCommand::ReadCommand;
  std::string_view Name() const override { return "explain"; }
  std::string_view Usage() const override {
    return "explain HOSTS SERVICE  a line a replica: what routing knows of it";
  }

 protected:
  std::size_t ExtraArguments() const override { return 1; }
  std::string Target(
      const std::vector<std::string>& extra_arguments) const override;
  void Print(const state::Endpoint& host, const std::string& body,
             std::ostream& out) const override;
};

}  // namespace banyanknot::ctl

#endif  // BANYANKNOT_CTL_EXPLAIN_COMMAND_H_
