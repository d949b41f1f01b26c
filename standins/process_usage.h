#ifndef BANYANKNOT_STANDINS_PROCESS_USAGE_H_
#define BANYANKNOT_STANDINS_PROCESS_USAGE_H_

#include <sys/types.h>

namespace banyanknot::standins {

/// \brief What a process has used so far.
struct ProcessUsage {
  double processor_seconds = 0;  ///< in user and kernel mode, all threads
  double resident_megabytes = 0;
};

/// \brief Reads what the process `pid` has used; zeros if there is none.
ProcessUsage ReadProcessUsage(pid_t pid);

}  // namespace banyanknot::standins

#endif  // BANYANKNOT_STANDINS_PROCESS_USAGE_H_
