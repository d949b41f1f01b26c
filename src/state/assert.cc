#include "banyanknot/state/util/assert.h"

#include <cstdio>
#include <cstdlib>

namespace banyanknot::state::internal {

void FailPrecondition(const char* condition, const char* message,
                      const char* file, int line) {
  std::fprintf(stderr, "%s:%d: precondition (%s) failed: %s\n", file, line,
               condition, message);
  std::abort();
}

}  // namespace banyanknot::state::internal
