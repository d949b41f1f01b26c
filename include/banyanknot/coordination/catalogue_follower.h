#ifndef BANYANKNOT_COORDINATION_CATALOGUE_FOLLOWER_H_
#define BANYANKNOT_COORDINATION_CATALOGUE_FOLLOWER_H_

namespace banyanknot::coordination {

/// \brief Follows the catalogue that the platform publishes.
///
/// Thread-safe.
class CatalogueFollower {
 public:
  virtual ~CatalogueFollower() = default;

  /// \brief Starts to follow; continues until the process ends.
  virtual void Start() = 0;

  /// \brief Returns whether the platform has answered at least once.
  virtual bool HasSynced() const = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_CATALOGUE_FOLLOWER_H_
