#ifndef BANYANKNOT_CTL_COMMAND_LINE_H_
#define BANYANKNOT_CTL_COMMAND_LINE_H_

#include <memory>
#include <string>
#include <vector>

#include "banyanknot/coordination/entry_decoder.h"
#include "banyanknot/coordination/routing/routes_document.h"
#include "command.h"
#include "host_client.h"
#include "log_files.h"

namespace banyanknot::ctl {

/// \brief Finds and runs the command that the command line names.
class CommandLine {
 public:
  /// \param log_options for the commands that read logs
  CommandLine(const coordination::EntryDecoder& decoder,
              const coordination::RoutesReader& routes_reader,
              HostClient& client, const LogOptions& log_options);

  /// \param words the command line without the program's name and flags
  ExitStatus Run(const std::vector<std::string>& words, std::ostream& out,
                 std::ostream& err);

  /// \brief Returns the help text, one line per command.
  std::string Help() const;

 private:
  std::vector<std::unique_ptr<Command>> commands;
};

}  // namespace banyanknot::ctl

#endif  // BANYANKNOT_CTL_COMMAND_LINE_H_
