#ifndef BANYANKNOT_STATE_ANSWER_H_
#define BANYANKNOT_STATE_ANSWER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "banyanknot/state/identifier.h"
#include "banyanknot/state/key_range.h"
#include "banyanknot/state/outcome.h"
#include "banyanknot/state/request_id.h"
#include "banyanknot/state/util/time.h"

namespace banyanknot::state {

/// \brief One record of an answer.
struct Record {
  std::uint64_t key = 0;
  std::string value;  ///< JSON text, forwarded unchanged
};

/// \brief A decoded and validated query of a caller.
struct Query {
  ServiceId service;
  Duration deadline{0};     ///< time limit of the caller; 0 for the default
  double min_coverage = 0;  ///< requested; 0 for the service's minimum
  std::string ask;          ///< JSON text, forwarded to backend servers
};

/// \brief The reply to the caller of a query.
struct Answer {
  RequestId request;
  ServiceId service;
  Outcome outcome = Outcome::kNotRun;
  std::string reason;          ///< human-readable cause of a failure
  std::uint64_t snapshot = 0;  ///< snapshot of all records
  double coverage = 0;         ///< answered fraction of the key space
  std::vector<KeyRange> missing;
  std::vector<Record> records;  ///< ordered by key
  Duration retry_after{0};      ///< 0 if the caller need not wait
};

}  // namespace banyanknot::state

#endif  // BANYANKNOT_STATE_ANSWER_H_
