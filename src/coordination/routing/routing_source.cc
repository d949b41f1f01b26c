#include "banyanknot/coordination/routing/routing_source.h"

#include <utility>

namespace banyanknot::coordination {

RoutingBatchResult RequireContinuation(const state::SourcePosition& after,
                                       RoutingBatch batch) {
  if (batch.position.era != after.era) return SourceFailure::kEraChanged;
  return batch;
}

}  // namespace banyanknot::coordination
