#ifndef BANYANKNOT_CTL_READ_COMMAND_H_
#define BANYANKNOT_CTL_READ_COMMAND_H_

#include <string>

#include "command.h"
#include "host_client.h"

namespace banyanknot::ctl {

/// \brief Reads one path of one or more hosts and prints each answer.
///
/// The base of `status`, `audit` and `explain`, which differ in what they ask
/// and how they print it.
class ReadCommand : public Command {
 public:
  explicit ReadCommand(HostClient& client) : client(client) {}
  ExitStatus Run(const std::vector<std::string>& arguments, std::ostream& out,
                 std::ostream& err) override;

 protected:
  /// \brief Number of arguments behind the list of hosts.
  virtual std::size_t ExtraArguments() const = 0;
  /// \brief The path to read, given the extra arguments.
  virtual std::string Target(
      const std::vector<std::string>& extra_arguments) const = 0;
  /// \brief Prints what one host answered, a JSON text.
  virtual void Print(const state::Endpoint& host, const std::string& body,
                     std::ostream& out) const = 0;

 private:
  ExitStatus ReadOne(const state::Endpoint& host, const std::string& target,
                     std::ostream& out, std::ostream& err);

  HostClient& client;
};

}  // namespace banyanknot::ctl

#endif  // BANYANKNOT_CTL_READ_COMMAND_H_
