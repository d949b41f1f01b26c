#include "banyanknot/state/catalogue.h"

namespace banyanknot::state {

const ServerEntry* ServiceEntry::FindServer(const ServerId& id) const {
  for (const ServerEntry& server : this->servers) {
    if (server.id == id) return &server;
  }
  return nullptr;
}

}  // namespace banyanknot::state
