#ifndef BANYANKNOT_COORDINATION_ROUTING_TWO_RANDOM_CHOICES_H_
#define BANYANKNOT_COORDINATION_ROUTING_TWO_RANDOM_CHOICES_H_

#include <cstddef>
#include <vector>

#include "banyanknot/coordination/random_source.h"
#include "banyanknot/coordination/routing/server_choice.h"

namespace banyanknot::coordination {

/// \brief Draws two servers at random and chooses the one of less estimated
/// time.
///
/// Answers the load of many hosts that choose at the same moment from old
/// reports: they don't all follow the same report. A server is drawn in
/// proportion to the inverse of its estimated time. A report counts less the
/// older it is; the rest is taken from the mean load of all candidates, so that
/// a server without news looks neither empty nor full. This host's own open
/// requests are known and count in full.
class TwoRandomChoices : public ServerChoice {
 public:
  explicit TwoRandomChoices(RandomSource& random) : random(random) {}

  std::size_t Choose(
      const std::vector<ServerObservation>& candidates) const override;

 private:
  std::size_t Draw(const std::vector<double>& weights) const;

  RandomSource& random;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_TWO_RANDOM_CHOICES_H_
