#ifndef BANYANKNOT_STANDINS_CHILD_PROCESS_H_
#define BANYANKNOT_STANDINS_CHILD_PROCESS_H_

#include <sys/types.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "banyanknot/state/util/time.h"

namespace banyanknot::standins {

/// \brief A process that a test or tool started; it is killed with this object.
///
/// Not thread-safe.
class ChildProcess {
 public:
  /// \brief Starts `program`.
  /// \param error_file file to which its standard error is appended
  /// \param output_file file to which its standard output is appended; empty
  ///     for ReadJsonLine() to read it
  ChildProcess(const std::string& program,
               const std::vector<std::string>& arguments,
               const std::string& error_file,
               const std::string& output_file = "");
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  bool IsStarted() const { return this->pid > 0; }
  pid_t Pid() const { return this->pid; }

  /// \brief Reads the next line of its standard output as JSON.
  /// \returns nothing at the end of the output, for bad JSON, or if no line
  ///     comes in time
  std::optional<nlohmann::json> ReadJsonLine(state::Duration timeout);

  /// \brief Sends it a signal, unless its end has been seen.
  void Signal(int number) const;

  /// \brief Waits for its end.
  /// \returns its exit status, or -1 if a signal ended it; nothing if it still
  ///     runs after `timeout`
  std::optional<int> WaitForExit(state::Duration timeout);

 private:
  std::optional<std::string> ReadLine(state::Duration timeout);

  pid_t pid = -1;
  int output = -1;
  std::string buffered;
  std::optional<int> exit_status;
};

}  // namespace banyanknot::standins

#endif  // BANYANKNOT_STANDINS_CHILD_PROCESS_H_
