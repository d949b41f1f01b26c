#ifndef BANYANKNOT_STATE_ROUTING_HOST_ADVERT_H_
#define BANYANKNOT_STATE_ROUTING_HOST_ADVERT_H_

#include "banyanknot/state/endpoint.h"
#include "banyanknot/state/identifier.h"
#include "banyanknot/state/util/time.h"

namespace banyanknot::state {

/// \brief What a relay host tells other hosts of itself.
struct HostAdvert {
  HostId id;
  FailureDomainId domain;
  Endpoint endpoint;        ///< for other hosts
  double cores = 1;         ///< processor share that it may use
  bool takes_work = false;  ///< gathers for other hosts now
  Duration age{0};          ///< since the host itself said so
};

}  // namespace banyanknot::state

#endif  // BANYANKNOT_STATE_ROUTING_HOST_ADVERT_H_
