#ifndef BANYANKNOT_COORDINATION_QUERY_ADMISSION_POLICY_H_
#define BANYANKNOT_COORDINATION_QUERY_ADMISSION_POLICY_H_

#include <cstdint>
#include <string>

#include "banyanknot/state/catalogue.h"
#include "banyanknot/state/outcome.h"
#include "banyanknot/state/result.h"
#include "banyanknot/state/util/time.h"

namespace banyanknot::coordination {

/// \brief Leave to run one query; given back by OnFinished().
struct AdmissionTicket {
  state::ServiceId service;
  state::ServiceClass service_class = state::ServiceClass::kWhole;
  std::uint32_t weight = 0;  ///< sub-requests of the first wave
};

/// \brief Why a query is not admitted, and when to ask again.
struct AdmissionRefusal {
  std::string reason;
  state::Duration retry_after{0};
};

using AdmissionResult = state::Result<AdmissionTicket, AdmissionRefusal>;

/// \brief How an admitted query ended.
struct QueryEnding {
  state::Outcome outcome = state::Outcome::kOk;
  state::Duration elapsed{0};
  std::uint64_t shed_replies = 0;  ///< servers that refused as overloaded
};

/// \brief Decides whether a query may start, before anything of it runs.
///
/// Thread-safe.
class AdmissionPolicy {
 public:
  virtual ~AdmissionPolicy() = default;

  /// \brief Asks for leave to start a query.
  ///
  /// Each ticket must be given back by OnFinished().
  virtual AdmissionResult Admit(const state::ServiceEntry& service) = 0;

  /// \brief Gives a ticket back and tells how the query ended.
  virtual void OnFinished(const AdmissionTicket& ticket,
                          const QueryEnding& ending) = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_QUERY_ADMISSION_POLICY_H_
