#ifndef BANYANKNOT_COORDINATION_QUERY_ADMISSION_POLICY_H_
#define BANYANKNOT_COORDINATION_QUERY_ADMISSION_POLICY_H_

#include <cstdint>
#include <string>

#include "banyanknot/state/catalogue.h"
#include "banyanknot/state/outcome.h"
#include "banyanknot/state/result.h"
#include "banyanknot/state/util/time.h"

namespace banyanknot::coordination {

/// \brief Admission of one query; released by OnFinished().
struct AdmissionTicket {
  state::ServiceId service;
  state::ServiceClass service_class = state::ServiceClass::kWhole;
  std::uint32_t weight = 0;  ///< its sub-requests in flight, one per shard
};

/// \brief Why a query was refused, and when the caller may retry.
struct AdmissionRefusal {
  std::string reason;
  state::Duration retry_after{0};
};

using AdmissionResult = state::Result<AdmissionTicket, AdmissionRefusal>;

/// \brief How an admitted query ended, as feedback for admission control.
struct QueryCompletion {
  state::Outcome outcome = state::Outcome::kOk;
  state::Duration elapsed{0};
  std::uint64_t shed_replies = 0;  ///< replies that refused as overloaded
};

/// \brief Decides whether a query may start, before any sub-request is sent.
///
/// Thread-safe.
class AdmissionPolicy {
 public:
  virtual ~AdmissionPolicy() = default;

  /// \brief Admits or refuses a query.
  ///
  /// Each ticket must be released by one call of OnFinished().
  virtual AdmissionResult Admit(const state::ServiceEntry& service) = 0;

  /// \brief Releases a ticket and records how the query ended.
  virtual void OnFinished(const AdmissionTicket& ticket,
                          const QueryCompletion& completion) = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_QUERY_ADMISSION_POLICY_H_
