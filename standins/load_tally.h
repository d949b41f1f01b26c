#ifndef BANYANKNOT_STANDINS_LOAD_TALLY_H_
#define BANYANKNOT_STANDINS_LOAD_TALLY_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "answer_checker.h"

namespace banyanknot::standins {

/// \brief What came of the requests of a load, or of one item of its mix.
struct LoadReport {
  std::uint64_t queries = 0;
  std::map<Verdict, std::uint64_t> verdicts;
  std::map<std::string, std::uint64_t> outcomes;  ///< as the hosts said them
  std::uint64_t doubled = 0;
  double coverage_min = 1;           ///< of the answered ones
  std::uint64_t sub_requests = 0;    ///< that the requests need at least
  std::vector<double> latencies_ms;  ///< of the answered, from when due
  std::vector<double> refusals_ms;   ///< of those refused as not run
  std::string first_complaint;

  std::uint64_t Count(Verdict verdict) const;

  /// \brief Share of requests that were answered; 1 if there were none.
  double AnsweredShare() const;
  void Add(const LoadReport& other);

  /// \brief The line that the demo ends with.
  /// \param started sub-requests that backend servers started for it
  nlohmann::json ToJson(std::uint64_t started) const;
};

/// \brief Latency below which a share `quantile` of `values` lies; 0 if none.
double QuantileOf(std::vector<double> values, double quantile);

/// \brief Collects the report of one item of the mix.
///
/// Thread-safe.
class LoadTally {
 public:
  void OnSent();
  void OnChecked(const LoadItem& item, const CheckedAnswer& checked,
                 state::Duration latency);
  LoadReport Report() const;

 private:
  mutable std::mutex mutex;
  LoadReport report;
};

}  // namespace banyanknot::standins

#endif  // BANYANKNOT_STANDINS_LOAD_TALLY_H_
