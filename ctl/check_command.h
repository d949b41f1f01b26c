#ifndef BANYANKNOT_CTL_CHECK_COMMAND_H_
#define BANYANKNOT_CTL_CHECK_COMMAND_H_

#include "banyanknot/coordination/entry_decoder.h"
#include "command.h"

namespace banyanknot::ctl {

/// \brief Validates a catalogue file with the decoder that hosts use.
///
/// Exit status: kOk; kFault if an entry is invalid; kUsage if the file can't be
/// read.
class CheckCommand : public Command {
 public:
  explicit CheckCommand(const coordination::EntryDecoder& decoder)
      : decoder(decoder) {}
  std::string_view Name() const override { return "check"; }
  std::string_view Usage() const override {
    return "check FILE          list each fault: file, JSON pointer, reason";
  }
  ExitStatus Run(const std::vector<std::string>& arguments, std::ostream& out,
                 std::ostream& err) override;

 private:
  const coordination::EntryDecoder& decoder;
};

}  // namespace banyanknot::ctl

#endif  // BANYANKNOT_CTL_CHECK_COMMAND_H_
