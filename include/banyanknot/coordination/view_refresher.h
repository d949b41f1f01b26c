#ifndef BANYANKNOT_COORDINATION_VIEW_REFRESHER_H_
#define BANYANKNOT_COORDINATION_VIEW_REFRESHER_H_

namespace banyanknot::coordination {

/// \brief Requests changes that this host may have missed.
///
/// Thread-safe. Replies are recorded in the ContactLog.
class ViewRefresher {
 public:
  virtual ~ViewRefresher() = default;

  /// \brief Sends the requests and returns without waiting for replies.
  virtual void Refresh() = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_VIEW_REFRESHER_H_
