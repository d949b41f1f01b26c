#ifndef BANYANKNOT_CTL_READ_COMMAND_H_
#define BANYANKNOT_CTL_READ_COMMAND_H_

#include <string>

#include "command.h"
#include "host_client.h"

namespace banyanknot::ctl {

/// \brief Base of the commands that GET one path from each host and print the
/// responses.
///
/// Exit status: the worst of all hosts.
class ReadCommand : public Command {
 public:
  explicit ReadCommand(HostClient& client) : client(client) {}
  ExitStatus Run(const std::vector<std::string>& arguments, std::ostream& out,
                 std::ostream& err) override;

 protected:
  /// \brief Returns the number of arguments after the list of hosts.
  virtual std::size_t ExtraArguments() const = 0;
  /// \brief Returns the path and query string to request.
  virtual std::string Target(
      const std::vector<std::string>& extra_arguments) const = 0;
  /// \brief Prints a successful response.
  /// \param body JSON text
  virtual void Print(const state::Endpoint& host, const std::string& body,
                     std::ostream& out) const = 0;

 private:
  ExitStatus ReadOne(const state::Endpoint& host, const std::string& target,
                     std::ostream& out, std::ostream& err);

  HostClient& client;
};

}  // namespace banyanknot::ctl

#endif  // BANYANKNOT_CTL_READ_COMMAND_H_
