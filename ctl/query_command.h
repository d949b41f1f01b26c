#ifndef BANYANKNOT_CTL_QUERY_COMMAND_H_
#define BANYANKNOT_CTL_QUERY_COMMAND_H_

#include "command.h"
#include "host_client.h"

namespace banyanknot::ctl {

/// \brief Sends a query to a host and prints the answer.
class QueryCommand : public Command {
 public:
  explicit QueryCommand(HostClient& client) : client(client) {}
  std::string_view Name() const override { return "query"; }
  std::string_view Usage() const override {
    return "query HOST SERVICE DEADLINE_MS [ASK]  ASK is JSON; prints the "
           "answer";
  }
  ExitStatus Run(const std::vector<std::string>& arguments, std::ostream& out,
                 std::ostream& err) override;

 private:
  HostClient& client;
};

}  // namespace banyanknot::ctl

#endif  // BANYANKNOT_CTL_QUERY_COMMAND_H_
