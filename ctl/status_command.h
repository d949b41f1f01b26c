#ifndef BANYANKNOT_CTL_STATUS_COMMAND_H_
#define BANYANKNOT_CTL_STATUS_COMMAND_H_

#include "read_command.h"

namespace banyanknot::ctl {

/// \brief Prints one line per host: readiness, catalogue revision, and its
/// hosts and servers by state.
class StatusCommand : public ReadCommand {
 public:
  using ReadCommand::ReadCommand;
  std::string_view Name() const override { return "status"; }
  std::string_view Usage() const override {
    return "status HOSTS        a line a host: ready, revision, hosts, servers";
  }

 protected:
  std::size_t ExtraArguments() const override { return 0; }
  std::string Target(
      const std::vector<std::string>& extra_arguments) const override;
  void Print(const state::Endpoint& host, const std::string& body,
             std::ostream& out) const override;
};

}  // namespace banyanknot::ctl

#endif  // BANYANKNOT_CTL_STATUS_COMMAND_H_
