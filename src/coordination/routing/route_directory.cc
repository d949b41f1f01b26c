#include "banyanknot/coordination/routing/route_directory.h"

#include <utility>

namespace banyanknot::coordination {

state::RouteTablePtr RouteDirectory::Current() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->current;
}

bool RouteDirectory::InstallIfNewer(state::RouteTablePtr table) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (this->current != nullptr &&
      table->Version() <= this->current->Version()) {
    return false;
  }
  this->current = std::move(table);
  return true;
}

}  // namespace banyanknot::coordination
