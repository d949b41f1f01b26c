#ifndef BANYANKNOT_STANDINS_ACTION_LEDGER_H_
#define BANYANKNOT_STANDINS_ACTION_LEDGER_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace banyanknot::standins {

/// \brief Counts how often each request that may not be repeated was run.
///
/// Thread-safe.
class ActionLedger {
 public:
  /// \param ask what the caller asked; callers make each one different
  void Record(const std::string& ask) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    ++this->runs[ask];
  }

  /// \brief Number of runs by ask.
  std::map<std::string, std::uint64_t> Runs() const {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->runs;
  }

 private:
  mutable std::mutex mutex;
  std::map<std::string, std::uint64_t> runs;
};

}  // namespace banyanknot::standins

#endif  // BANYANKNOT_STANDINS_ACTION_LEDGER_H_
