#include "banyanknot/coordination/query/attempt_table.h"

#include <utility>

#include "banyanknot/state/util/assert.h"

namespace banyanknot::coordination {

QueryAttempt& AttemptTable::Open(QueryAttempt attempt) {
  attempt.id = static_cast<std::uint32_t>(this->attempts.size() + 1);
  attempt.is_open = true;
  ++this->open_count;
  this->attempts.push_back(std::move(attempt));
  return this->attempts.back();
}

QueryAttempt* AttemptTable::FindOpen(std::uint32_t id) {
  if (id == 0 || id > this->attempts.size()) return nullptr;
  QueryAttempt& attempt = this->attempts[id - 1];
  return attempt.is_open ? &attempt : nullptr;
}

void AttemptTable::Close(QueryAttempt& attempt) {
  BANYANKNOT_ASSERT(attempt.is_open, "attempt is already closed");
  attempt.is_open = false;
  --this->open_count;
}

}  // namespace banyanknot::coordination
