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
  std::string value;  ///< JSON text, passed on as it came
};

/// \brief A caller's query, decoded and checked for form.
struct Query {
  ServiceId service;
  Duration deadline{0};     ///< time that the caller gives; 0 for the default
  double min_coverage = 0;  ///< least coverage asked for; 0 for the service's
  std::string ask;          ///< JSON text, passed on to backend servers
};

/// \brief What a caller is told of its query.
struct Answer {
  RequestId request;
  ServiceId service;
  Outcome outcome = Outcome::kNotRun;
  std::string reason;          ///< for people; names the cause of a failure
  std::uint64_t snapshot = 0;  ///< the one snapshot of all records
  double coverage = 0;         ///< share of the key space that is answered
  std::vector<KeyRange> missing;
  std::vector<Record> records;  ///< ordered by key
  Duration retry_after{0};      ///< 0 if the caller need not wait
};

}  // namespace banyanknot::state

#endif  // BANYANKNOT_STATE_ANSWER_H_
