#ifndef BANYANKNOT_COORDINATION_DIGEST_SOURCE_H_
#define BANYANKNOT_COORDINATION_DIGEST_SOURCE_H_

#include "banyanknot/coordination/peer_message.h"

namespace banyanknot::coordination {

/// \brief Provides the digest of this host's catalogue.
///
/// Thread-safe. Digest() must be cheap: it is called for each heartbeat.
class DigestSource {
 public:
  virtual ~DigestSource() = default;
  virtual CatalogueDigest Digest() const = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_DIGEST_SOURCE_H_
