#ifndef BANYANKNOT_COORDINATION_VIEW_REFRESHER_H_
#define BANYANKNOT_COORDINATION_VIEW_REFRESHER_H_

namespace banyanknot::coordination {

/// \brief Asks the platform or peers for what this host may have missed.
///
/// Thread-safe. What is heard goes to the ContactLog.
class ViewRefresher {
 public:
  virtual ~ViewRefresher() = default;

  /// \brief Asks at once and returns without waiting.
  virtual void Refresh() = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_VIEW_REFRESHER_H_
