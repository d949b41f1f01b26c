#ifndef BANYANKNOT_STANDINS_ACTION_JOURNAL_H_
#define BANYANKNOT_STANDINS_ACTION_JOURNAL_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

#include "answer_checker.h"
#include "load_tally.h"

namespace banyanknot::standins {

/// \brief Remembers what callers were told of each action.
///
/// Thread-safe.
class ActionJournal {
 public:
  void Record(const std::string& ask, Verdict verdict);

  /// \brief Compares with what the stand-ins ran and adds what is wrong.
  /// \param runs number of runs by ask, as `/admin/counters` gives them
  void Check(const nlohmann::json& runs, LoadReport& report) const;

 private:
  mutable std::mutex mutex;
  std::map<std::string, Verdict> verdicts;
};

}  // namespace banyanknot::standins

#endif  // BANYANKNOT_STANDINS_ACTION_JOURNAL_H_
