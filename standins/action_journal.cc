#include "action_journal.h"

namespace banyanknot::standins {

void ActionJournal::Record(const std::string& ask, Verdict verdict) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->verdicts[ask] = verdict;
}

void ActionJournal::Check(const nlohmann::json& runs,
                          LoadReport& report) const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  for (const auto& [ask, verdict] : this->verdicts) {
    const std::uint64_t count = runs.value(ask, std::uint64_t{0});
    if (count > 1) ++report.doubled;
    const bool lost = verdict == Verdict::kAnswered && count == 0;
    const bool ran = verdict == Verdict::kNotRun && count > 0;
    if (!lost && !ran) continue;
    ++report.verdicts[Verdict::kWrong];
    --report.verdicts[verdict];
    if (report.first_complaint.empty()) {
      report.first_complaint = ask + (lost ? " was answered but never ran"
                                           : " was refused as not run but ran");
    }
  }
}

}  // namespace banyanknot::standins
