#ifndef BANYANKNOT_DAEMONS_CROWD_WATCH_H_
#define BANYANKNOT_DAEMONS_CROWD_WATCH_H_

#include <cstdint>

#include "banyanknot/coordination/event_log.h"
#include "banyanknot/coordination/memory/memory_account.h"
#include "banyanknot/transport/http_server.h"

namespace banyanknot::daemons {

/// \brief Logs crowds of callers that had to give way, one line a check, and
/// returns their memory to the system once they have left.
///
/// Not thread-safe.
class CrowdWatch {
 public:
  CrowdWatch(coordination::EventLog& log, coordination::MemoryAccount& memory,
             const transport::HttpServer& callers)
      : log(log), memory(memory), callers(callers) {}

  /// \brief To be called every few seconds.
  void Check();

 private:
  struct Counts {
    std::uint64_t gave_way = 0;
    std::uint64_t refused = 0;
    std::uint64_t displaced = 0;
    std::uint64_t not_admitted = 0;
  };

  coordination::EventLog& log;
  coordination::MemoryAccount& memory;
  const transport::HttpServer& callers;
  Counts logged;
  std::size_t peak_bytes = 0;  // since memory was returned
};

}  // namespace banyanknot::daemons

#endif  // BANYANKNOT_DAEMONS_CROWD_WATCH_H_
